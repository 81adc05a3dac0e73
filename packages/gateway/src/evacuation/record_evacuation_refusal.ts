import type { SelectionRequest } from "@banyanspool/routing";
import type { GatewayContext } from "../context.ts";
import { findBar } from "./allowed_replicas.ts";

/**
 * Records a request that may go to no replica with the evacuations that keep it
 * from one: those of data centres that it would be allowed otherwise.
 */
export function recordEvacuationRefusal(
  { evacuations, evacuationRecords, replicaTracker, regions }: GatewayContext,
  request: SelectionRequest,
): void {
  const responsible = new Set<string>();
  for (const server of replicaTracker.servers.values()) {
    if (server.service !== request.service || server.draining) continue;
    if (!evacuations.isEvacuated(server.dataCentre)) continue;
    const bar = findBar(request, { regions, isEvacuated: () => false, server });
    if (bar === undefined) responsible.add(server.dataCentre);
  }
  evacuationRecords.recordRefused(responsible);
}
