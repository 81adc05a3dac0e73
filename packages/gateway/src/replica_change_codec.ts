import { type ServerNews, toUint32, toUint64 } from "@banyanspool/wire";
import type { ReplicaChange } from "./replica_registry.ts";

/** Converts a replica change to the message that gateways exchange. */
export function encodeReplicaChange(change: ReplicaChange): ServerNews {
  const { server, position } = change;
  const { id, startedAt, sequence } = server;
  const common = {
    $typeName: "banyanspool.v1.ServerNews",
    id,
    startedAt: toUint64(startedAt),
    sequence: toUint64(sequence),
    version: toUint64(position.version),
    epoch: toUint32(position.epoch),
  } as const;
  if (change.kind === "gone") {
    return {
      ...common,
      gone: true,
      service: "",
      address: "",
      dataCentre: "",
      slots: 0,
      leaving: true,
      softwareVersion: "",
    };
  }
  const { service, address, dataCentre, slots, draining, softwareVersion } =
    change.server;
  const { coldForMs } = change.server;
  return {
    ...common,
    gone: false,
    service,
    address,
    dataCentre,
    slots: toUint32(slots),
    leaving: draining,
    softwareVersion,
    coldForMs: coldForMs === undefined ? undefined : toUint32(coldForMs),
  };
}

/**
 * Converts a message to a replica change. The replica's models are empty, as
 * the placement lease holder reports them.
 */
export function decodeReplicaChange(message: ServerNews): ReplicaChange {
  const { id, epoch } = message;
  const position = { epoch, version: Number(message.version) };
  const startedAt = Number(message.startedAt);
  const sequence = Number(message.sequence);
  if (message.gone) {
    return { kind: "gone", server: { id, startedAt, sequence }, position };
  }
  const { service, address, dataCentre, slots, leaving, softwareVersion } =
    message;
  const { coldForMs } = message;
  const server = {
    id,
    service,
    address,
    dataCentre,
    slots,
    draining: leaving,
    softwareVersion,
    startedAt,
    sequence,
    coldForMs,
    models: [],
  };
  return { kind: "listed", server, position };
}
