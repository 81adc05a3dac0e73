import type { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer } from "@banyanspool/types";
import type { StreamNeed } from "./waiting_request_counts.ts";

/** Options of {@link mayServeNeed}. */
export interface ServeNeedOptions {
  /** What is waited for. */
  readonly need: StreamNeed;
  /** Knows which replicas a request may go to. */
  readonly replicaTracker: Pick<ReplicaTracker, "allows">;
}

/** Whether a replica could serve what is waited for if it had the model. */
export function mayServeNeed(
  server: BackendServer,
  { need, replicaTracker }: ServeNeedOptions,
): boolean {
  const { version, allowedRegions } = need;
  if (version !== undefined && server.softwareVersion !== version) return false;
  return replicaTracker.allows(server, {
    allowedRegions: allowedRegions && [allowedRegions],
  });
}
