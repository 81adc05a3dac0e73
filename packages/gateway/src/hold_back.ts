import type { ReplicaSelection } from "@banyanspool/routing";
import {
  callerLeavesAt,
  MAX_PREDICTED_SHARE,
  type PendingRequest,
  RESPONSE_RESERVE_MS,
} from "./caller_wait.ts";
import type { GatewayContext } from "./context.ts";
import { MIN_QUEUE_SHARE } from "./queue_share.ts";
import { priorityOf, type RequestScope } from "./request_scope.ts";

/** Share of its target that a request may take when it is sent at last. */
const MAX_HELD_SHARE = 0.5;

/**
 * Time until which a request leaves a replica to more urgent ones, in ms;
 * undefined if it doesn't. More urgent requests with a shorter target are taken
 * as long as the wait at the replica is a small share of their target.
 */
export function holdUntil(
  { clock }: Pick<GatewayContext, "clock">,
  scope: RequestScope,
  { request, waitingSince, selection }: PendingRequest & {
    readonly selection: Pick<ReplicaSelection, "waitMs" | "predictedMs">;
  },
): number | undefined {
  const { route, arrivedAt } = scope;
  const isFirstAttempt = waitingSince === arrivedAt &&
    request.excluded.size === 0;
  if (request.model === undefined || !isFirstAttempt) return undefined;
  const { waitMs, predictedMs } = selection;
  const urgentTargetMs = shortestUrgentTargetMs(scope, request.service);
  const excessMs = waitMs - urgentTargetMs * MIN_QUEUE_SHARE;
  if (excessMs <= 0) return undefined;
  const now = clock.now();
  const latest = Math.min(
    arrivedAt + route.targetLatencyMs * MAX_HELD_SHARE - predictedMs,
    callerLeavesAt(scope, { waitingSince }) - RESPONSE_RESERVE_MS -
      predictedMs / MAX_PREDICTED_SHARE,
  );
  // The replica still has work when the excess has been worked off.
  return latest > now ? Math.min(latest, now + excessMs) : undefined;
}

/** Shortest target of the more urgent routes of a service; Infinity if none. */
function shortestUrgentTargetMs(scope: RequestScope, service: string): number {
  const { route, activeConfiguration } = scope;
  const priority = priorityOf(scope);
  let shortestMs = Infinity;
  if (priority === 0) return shortestMs;
  for (const other of activeConfiguration.configuration.routes) {
    if (other.priority >= priority) continue;
    if (other.targetLatencyMs >= route.targetLatencyMs) continue;
    const isShared = other.shares.some((share) =>
      share.service === service && share.weight > 0
    );
    if (isShared) shortestMs = Math.min(shortestMs, other.targetLatencyMs);
  }
  return shortestMs;
}
