import type { ServerNews } from "@banyanspool/wire";
import type { ReplicaChange } from "./replica_registry.ts";

/** Converts a replica change to the message that gateways exchange. */
export function encodeReplicaChange(change: ReplicaChange): ServerNews {
  if (change.kind === "gone") {
    return {
      $typeName: "banyanspool.v1.ServerNews",
      id: change.id,
      version: BigInt(change.version),
      gone: true,
      service: "",
      address: "",
      dataCentre: "",
      slots: 0,
      leaving: true,
      startedAt: 0n,
      softwareVersion: "",
    };
  }
  const { server, version } = change.listed;
  return {
    $typeName: "banyanspool.v1.ServerNews",
    id: server.id,
    version: BigInt(version),
    gone: false,
    service: server.service,
    address: server.address,
    dataCentre: server.dataCentre,
    slots: server.slots,
    leaving: server.draining,
    startedAt: BigInt(server.startedAt),
    softwareVersion: server.softwareVersion,
  };
}

/**
 * Converts a message to a replica change. The replica's models are empty, as
 * the placement lease holder reports them.
 */
export function decodeReplicaChange(message: ServerNews): ReplicaChange {
  const version = Number(message.version);
  if (message.gone) return { kind: "gone", id: message.id, version };
  const { id, service, address, dataCentre, slots, leaving, softwareVersion } =
    message;
  const startedAt = Number(message.startedAt);
  const server = {
    id,
    service,
    address,
    dataCentre,
    slots,
    draining: leaving,
    softwareVersion,
    startedAt,
    models: [],
  };
  return { kind: "listed", listed: { server, version } };
}
