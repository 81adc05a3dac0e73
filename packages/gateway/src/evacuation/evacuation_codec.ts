import { type GatewayState, toUint32, toUint64 } from "@banyanspool/wire";
import type { EvacuationFact } from "./evacuations.ts";

/** Encodes evacuations as a field of a datagram. */
export function encodeEvacuations(
  facts: readonly EvacuationFact[],
): Pick<GatewayState, "evacuations"> {
  return {
    evacuations: facts.map(({ dataCentre, position, removed, setVersion }) => ({
      $typeName: "banyanspool.v1.Evacuation",
      dataCentre,
      epoch: toUint32(position.epoch),
      version: toUint64(position.version),
      removed,
      setVersion: toUint64(setVersion),
    })),
  };
}

/** Decodes the evacuations of a datagram. */
export function decodeEvacuations(
  { evacuations }: Pick<GatewayState, "evacuations">,
): EvacuationFact[] {
  return evacuations.map(({ dataCentre, epoch, version, ...rest }) => ({
    dataCentre,
    position: { epoch, version: Number(version) },
    removed: rest.removed,
    setVersion: Number(rest.setVersion),
  }));
}
