import type { ReplicaResponseInfo } from "@banyanspool/platform-adapter";
import { type BackendServer, incarnationOf } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";

/** What the head of a response tells of its replica. */
export interface ReplicaNotices {
  /** Decoded head. */
  readonly facts: ReplicaResponseInfo;
  /** When the request was sent, in ms. */
  readonly sentAt: number;
}

/**
 * Applies what a replica says of itself in the head of a response, whatever the
 * call. A misdirected response is another replica's.
 */
export function recordReplicaNotices(
  ctx: Pick<GatewayContext, "replicaLimits" | "markLeaving">,
  server: BackendServer,
  { facts, sentAt }: ReplicaNotices,
): void {
  const { limit, notRun, misdirected, leaving } = facts;
  if (misdirected) return;
  if (leaving) ctx.markLeaving(server);
  // A rejection that names no limit doesn't tell that there is none.
  if (limit.kind === "unreadable" || (limit.kind === "none" && notRun)) return;
  ctx.replicaLimits.record({
    replica: incarnationOf(server),
    ratePerS: limit.kind === "limited" ? limit.requestsPerS : undefined,
    sentAt,
  });
}
