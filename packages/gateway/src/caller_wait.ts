import type { SelectionRequest } from "@banyanspool/routing";
import type { Route } from "@banyanspool/types";
import type { RequestScope } from "./request_scope.ts";

/**
 * Callers are assumed to disconnect if the first event of a stream has not
 * arrived after the longest of this time and these multiples of the route's
 * targets for the first event and for the pause between events.
 */
const MIN_FIRST_EVENT_TIMEOUT_MS = 2000;
const TARGET_MULTIPLE = 4;
const PAUSE_TARGET_MULTIPLE = 8;
/** Time before the deadline that is reserved for writing the response, in ms. */
export const RESPONSE_RESERVE_MS = 150;
/**
 * Callers wait for a retry-after only up to this share of the time that they
 * have left.
 */
export const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Share of the caller's remaining wait that the predicted time may take. */
export const MAX_PREDICTED_SHARE = 0.8;

/** Estimated time that a caller waits for the first byte, in ms. */
export function callerFirstByteTimeoutMs(route: Route): number {
  if (!route.streaming) return route.timeoutMs;
  return Math.max(
    MIN_FIRST_EVENT_TIMEOUT_MS,
    TARGET_MULTIPLE * route.targetLatencyMs,
    PAUSE_TARGET_MULTIPLE * route.eventGapTargetMs,
  );
}

/** A request that needs a replica. */
export interface PendingRequest {
  /** Properties by which a replica is selected. */
  readonly request: SelectionRequest;
  /**
   * Since when its caller has waited for a byte, in ms: since its arrival, or
   * since the last event of a stream that is to be resumed.
   */
  readonly waitingSince: number;
}

/** Time at which the caller is assumed to leave without a further byte, in ms. */
export function callerLeavesAt(
  { deadlineAt, route }: RequestScope,
  { waitingSince }: Pick<PendingRequest, "waitingSince">,
): number {
  return Math.min(deadlineAt, waitingSince + callerFirstByteTimeoutMs(route));
}
