import type { ReplicaResponseInfo } from "@banyanspool/platform-adapter";
import { type BackendServer, incarnationOf } from "@banyanspool/types";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { GatewayContext } from "./context.ts";

/** What the head of a response tells of its replica. */
export interface ReplicaNotices {
  /** Decoded head. */
  readonly facts: ReplicaResponseInfo;
  /** When the request was sent, in ms. */
  readonly sentAt: number;
  /** Whether it responds to a caller's request, and not to an order or a read. */
  readonly isRequest: boolean;
}

type StatedLoadContext =
  & Pick<GatewayContext, "metrics" | "logUnreadableLoad">
  & { replicaTracker: Pick<ReplicaTracker, "recordStatedLoad"> };

/**
 * Applies what a replica says of itself in the head of a response, whatever the
 * call. A misdirected response is another replica's.
 */
export function recordReplicaNotices(
  ctx:
    & Pick<
      GatewayContext,
      | "replicaLimits"
      | "replicaPauses"
      | "markLeaving"
      | "log"
    >
    & StatedLoadContext,
  server: BackendServer,
  { facts, sentAt, isRequest }: ReplicaNotices,
): void {
  const { limit, notRun, misdirected, leaving, pause } = facts;
  if (misdirected) return;
  const replica = incarnationOf(server);
  if (leaving) ctx.markLeaving(server);
  recordStatedLoad(ctx, server, { facts, sentAt });
  if (pause.kind === "pause") ctx.replicaPauses.record(replica, pause);
  else ctx.replicaPauses.recordResponse(replica);
  if (pause.kind === "unreadable") {
    const { text } = pause;
    ctx.log.write("retry-after unreadable", { replica, retry_after: text });
  }
  if (limit.kind === "unreadable") return;
  // Only the response to a request that was run tells that there is no limit.
  if (limit.kind === "none" && (notRun || !isRequest)) return;
  ctx.replicaLimits.record({
    replica,
    ratePerS: limit.kind === "limited" ? limit.requestsPerS : undefined,
    sentAt,
  });
}

function recordStatedLoad(
  { replicaTracker, metrics, logUnreadableLoad }: StatedLoadContext,
  server: BackendServer,
  { facts: { load }, sentAt }: Pick<ReplicaNotices, "facts" | "sentAt">,
): void {
  if (load.kind === "none") return;
  const outcome = load.kind === "load" ? "read" : "unreadable";
  metrics.statedLoads.inc({ outcome });
  if (load.kind === "unreadable") {
    logUnreadableLoad({ replica: incarnationOf(server), load: load.text });
    return;
  }
  const { running, waiting, slowdown } = load;
  replicaTracker.recordStatedLoad(server, {
    requests: running + waiting,
    slowdown,
    sentAt,
  });
}
