import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName, usualTimeMs } from "@banyanspool/routing";
import type { Refusal, Result } from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import {
  callerFirstByteTimeoutMs,
  callerLeavesAt,
  MAX_PREDICTED_SHARE,
  MAX_RETRY_AFTER_SHARE,
  type PendingRequest,
  RESPONSE_RESERVE_MS,
} from "./caller_wait.ts";
import type { GatewayContext } from "./context.ts";
import { recordEvacuationRefusal } from "./evacuation/record_evacuation_refusal.ts";
import { holdUntil } from "./hold_back.ts";
import { MIN_QUEUE_SHARE } from "./queue_share.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { refuseQuarantined } from "./refuse_quarantined.ts";
import { refuseWhilePaused } from "./refuse_while_paused.ts";
import type { RequestScope } from "./request_scope.ts";
import type { Decision } from "./waiting_room.ts";

/** Retry-after of requests that found no replica, before jitter. */
const NO_REPLICA_RETRY_AFTER_MS = 700;
/** Retry-after of requests that may go to no replica, before jitter. */
const BARRED_RETRY_AFTER_MS = 2000;
/**
 * Share of the route's target time that the predicted time may take where
 * requests queue at a replica. With a longer queue, none of the requests in it
 * would be in time.
 */
const MAX_TARGET_SHARE = 0.9;
/**
 * Bounds of the retry-after of requests refused as overloaded. It is at least the
 * wait in the queue and a share of the time that the caller has left, and up to
 * twice as long at random, so that callers return spread over the time in which
 * a rush passes.
 */
export const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 5000;
const MIN_RETURN_SHARE = 0.1;

/** Options of {@link decide}. */
export interface DecideOptions extends PendingRequest {
  /** Called if no replica can take the request now. */
  readonly onUnavailable: () => void;
}

/** Decides what is to be done with a request now. */
export function decide(
  ctx: GatewayContext,
  scope: RequestScope,
  { onUnavailable, ...pending }: DecideOptions,
): Decision {
  const { request, waitingSince } = pending;
  const quarantined = refuseQuarantined(ctx, scope, request);
  if (quarantined) return { kind: "refuse", refusal: quarantined };
  const checked = selectReplica(ctx, scope, pending);
  if (checked && !checked.ok) return { kind: "refuse", refusal: checked.error };
  if (checked) {
    return holdOrSend(ctx, scope, { ...pending, selection: checked.value });
  }
  // A refusal would cut a stream that has begun, which waits instead.
  const isResumed = waitingSince > scope.arrivedAt;
  if (!isResumed && ctx.replicaTracker.exhausted(request).length > 0) {
    return { kind: "claim" };
  }
  const refusal = refuseUnavailable(ctx, scope, { onUnavailable, ...pending });
  return refusal ? { kind: "refuse", refusal } : { kind: "wait" };
}

/** Holds a request back if it would be at the best of all replicas too. */
function holdOrSend(
  ctx: GatewayContext,
  scope: RequestScope,
  { selection, ...pending }: PendingRequest & {
    readonly selection: ReplicaSelection;
  },
): Decision {
  const until = holdUntil(ctx, scope, { ...pending, selection });
  if (until === undefined) return { kind: "send", selection };
  const best = ctx.replicaTracker.select(pending.request, {
    compareAll: true,
  })!;
  const checked = checkPredictedTime(ctx, scope, {
    ...pending,
    selection: best,
  });
  if (!checked.ok) return { kind: "hold", until };
  const bestUntil = holdUntil(ctx, scope, { ...pending, selection: best });
  return bestUntil === undefined
    ? { kind: "send", selection: best }
    : { kind: "hold", until: bestUntil };
}

/** Refuses a request that no replica can take now if it would wait in vain. */
function refuseUnavailable(
  ctx: GatewayContext,
  scope: RequestScope,
  { onUnavailable, ...pending }: DecideOptions,
): Refusal | undefined {
  const { clock, replicaTracker, waitingRequests } = ctx;
  const { request } = pending;
  if (replicaTracker.isBarred(request)) return refuseBarred(ctx, request);
  const name = formatModelName(request);
  const waitUntil = callerLeavesAt(scope, pending) - RESPONSE_RESERVE_MS;
  const paused = refuseWhilePaused(ctx, { request, waitUntil });
  if (paused && name === undefined) return paused;
  const isOver = waitUntil <= clock.now();
  if (isOver || (name === undefined && request.excluded.size > 0)) {
    return refuseNoReplica(ctx, request);
  }
  onUnavailable();
  const refusal = paused ??
    refuseUntilLoaded(ctx, scope, { request, waitUntil });
  if (refusal && name !== undefined) {
    // The model is still to be loaded for the caller that returns.
    waitingRequests.expectReturn(name, refusal.retryAfterMs ?? 0);
  }
  return refusal;
}

/**
 * Selects the replica that is predicted to respond first, or refuses a request
 * that none would answer in time. Undefined if none can take it now.
 */
export function selectReplica(
  ctx: GatewayContext,
  scope: RequestScope,
  pending: PendingRequest,
): Result<ReplicaSelection, Refusal> | undefined {
  const { replicaTracker } = ctx;
  const { request } = pending;
  const check = (selection: ReplicaSelection) =>
    checkPredictedTime(ctx, scope, { ...pending, selection });
  const selection = replicaTracker.select(request);
  if (!selection) return undefined;
  const checked = check(selection);
  if (checked.ok) return checked;
  const best = check(replicaTracker.select(request, { compareAll: true })!);
  if (best.ok) return best;
  const limited = replicaTracker.select(request, {
    compareAll: true,
    onlyLimited: true,
  });
  return limited ? check(limited) : best;
}

/** Refuses a request that a replica wouldn't answer in time. */
export function checkPredictedTime(
  ctx: GatewayContext,
  scope: RequestScope,
  { waitingSince, selection }: {
    waitingSince: number;
    selection: ReplicaSelection;
  },
): Result<ReplicaSelection, Refusal> {
  const nowMs = ctx.clock.now();
  const remainingWaitMs = callerLeavesAt(scope, { waitingSince }) - nowMs;
  const { targetLatencyMs } = scope.route;
  const { waitMs, inFlight } = selection;
  // An idle replica that was slow is tried, or it would stay so for good.
  const predictedMs = inFlight < 1
    ? usualTimeMs(selection)
    : selection.predictedMs;
  // A refusal would cut a stream that has begun.
  const isResumed = waitingSince > scope.arrivedAt;
  const isQueueShort = isResumed ||
    predictedMs <= targetLatencyMs * MAX_TARGET_SHARE ||
    waitMs <= targetLatencyMs * MIN_QUEUE_SHARE;
  if (
    isQueueShort &&
    predictedMs <= remainingWaitMs * MAX_PREDICTED_SHARE
  ) {
    return ok(selection);
  }
  const leftMs = scope.deadlineAt - nowMs;
  const retryAfterMs = Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, waitMs, leftMs * MIN_RETURN_SHARE),
  );
  return err(refuse(
    "overloaded",
    `All replicas of "${selection.server.service}" are too busy to answer in time`,
    { retryAfterMs: Math.ceil(retryAfterMs * (1 + ctx.random())) },
  ));
}

/**
 * Refuses a request for a model that no replica will have in time, with the time
 * at which it will be there. A caller that would come back too early to see it
 * loaded waits here for a part of the time.
 */
function refuseUntilLoaded(
  ctx: GatewayContext,
  scope: RequestScope,
  { request, waitUntil }: { request: SelectionRequest; waitUntil: number },
): Refusal | undefined {
  const { clock, expectedModels, random, replicaTracker } = ctx;
  const { model, softwareVersion, allowedRegions } = request;
  if (model === undefined || replicaTracker.isResident(request)) return;
  // The expected load may be at a replica of another version or region.
  if (softwareVersion !== undefined || (allowedRegions?.length ?? 0) > 0) {
    return;
  }
  const readyAt = expectedModels.readyAt(model);
  if (readyAt === undefined || readyAt <= waitUntil) return;
  const now = clock.now();
  const leftMs = scope.deadlineAt - now;
  const readyInMs = readyAt - now;
  const nextWaitMs = callerFirstByteTimeoutMs(scope.route) -
    RESPONSE_RESERVE_MS;
  const returnInMs = Math.min(readyInMs, leftMs * MAX_RETRY_AFTER_SHARE);
  const isReturnInTime = returnInMs + nextWaitMs > readyInMs;
  if (!isReturnInTime || readyAt > scope.deadlineAt) return;
  return refuse("no_replica", `Model "${model}" is still being loaded`, {
    retryAfterMs: jitterRetryAfter(readyInMs, random),
  });
}

/** Refuses at once a request that may go to no replica of its service. */
export function refuseBarred(
  ctx: GatewayContext,
  request: SelectionRequest,
): Refusal {
  const { metrics, random } = ctx;
  const { service, allowedRegions = [] } = request;
  const binds = allowedRegions.length > 0;
  recordEvacuationRefusal(ctx, request);
  metrics.barredRequests.inc({ regions: binds ? "bound" : "any" });
  return refuse(
    "no_allowed_replica",
    binds
      ? `No replica of "${service}" is in a region that the request allows`
      : `All replicas of "${service}" are in data centres that are evacuated`,
    { retryAfterMs: jitterRetryAfter(BARRED_RETRY_AFTER_MS, random) },
  );
}

function refuseNoReplica(
  ctx: GatewayContext,
  request: SelectionRequest,
): Refusal {
  const name = formatModelName(request) ?? request.service;
  return refuse("no_replica", `No replica can serve "${name}" in time`, {
    retryAfterMs: jitterRetryAfter(NO_REPLICA_RETRY_AFTER_MS, ctx.random),
  });
}
