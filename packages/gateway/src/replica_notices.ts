import type { ReplicaResponseInfo } from "@banyanspool/platform-adapter";
import { type BackendServer, incarnationOf } from "@banyanspool/types";
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

/**
 * Applies what a replica says of itself in the head of a response, whatever the
 * call. A misdirected response is another replica's.
 */
export function recordReplicaNotices(
  ctx: Pick<GatewayContext, "replicaLimits" | "markLeaving">,
  server: BackendServer,
  { facts, sentAt, isRequest }: ReplicaNotices,
): void {
  const { limit, notRun, misdirected, leaving } = facts;
  if (misdirected) return;
  if (leaving) ctx.markLeaving(server);
  if (limit.kind === "unreadable") return;
  // Only the response to a request that was run tells that there is no limit.
  if (limit.kind === "none" && (notRun || !isRequest)) return;
  ctx.replicaLimits.record({
    replica: incarnationOf(server),
    ratePerS: limit.kind === "limited" ? limit.requestsPerS : undefined,
    sentAt,
  });
}
