import type { ServerNews } from "@banyanspool/wire";
import type { ReplicaChange } from "./replica_registry.ts";

/** Puts a change of the list of replicas into a datagram's form. */
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
    leaving: server.leaving,
    startedAt: BigInt(server.startedAt),
  };
}

/**
 * Reads a change of the list of replicas. What a replica holds is left out:
 * the placement holder tells that.
 */
export function decodeReplicaChange(news: ServerNews): ReplicaChange {
  const version = Number(news.version);
  if (news.gone) return { kind: "gone", id: news.id, version };
  const { id, service, address, dataCentre, slots, leaving } = news;
  const startedAt = Number(news.startedAt);
  const server = {
    id,
    service,
    address,
    dataCentre,
    slots,
    leaving,
    startedAt,
    models: [],
  };
  return { kind: "listed", listed: { server, version } };
}
