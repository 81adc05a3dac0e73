import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName, usualTimeMs } from "@banyanspool/routing";
import type { Refusal, Result, Route } from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import { recordEvacuationRefusal } from "./evacuation/record_evacuation_refusal.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { claimPermit, type PermitClaim, takePermit } from "./replica_permit.ts";
import { refuseQuarantined } from "./refuse_quarantined.ts";
import { refuseWhilePaused } from "./refuse_while_paused.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { RequestScope } from "./request_scope.ts";

/**
 * Callers are assumed to disconnect if the first event of a stream has not
 * arrived after the longest of this time and these multiples of the route's
 * targets for the first event and for the pause between events.
 */
const MIN_FIRST_EVENT_TIMEOUT_MS = 2000;
const TARGET_MULTIPLE = 4;
const PAUSE_TARGET_MULTIPLE = 8;
/** Time before the deadline that is reserved for writing the response. */
const RESPONSE_RESERVE_MS = 150;
/** Interval at which a waiting request checks again without a notification. */
const RECHECK_INTERVAL_MS = 60;
/** Retry-after of requests that found no replica, before jitter. */
const NO_REPLICA_RETRY_AFTER_MS = 700;
/** Retry-after of requests that may go to no replica, before jitter. */
const BARRED_RETRY_AFTER_MS = 2000;
/**
 * Callers wait for a retry-after only up to this share of the time that they
 * have left.
 */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Share of the caller's remaining wait that the predicted time may take. */
const MAX_PREDICTED_SHARE = 0.8;
/**
 * Share of the route's target time that the predicted time may take where
 * requests queue at a replica. With a longer queue, none of the requests in it
 * would be in time.
 */
const MAX_TARGET_SHARE = 0.9;
/** Share of the target time that a request may wait for others in any case. */
const MIN_QUEUE_SHARE = 0.25;
/**
 * Bounds of the retry-after of requests refused as overloaded. It is at least the
 * wait in the queue and a share of the time that the caller has left, and up to
 * twice as long at random, so that callers return spread over the time in which
 * a rush passes.
 */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 5000;
const MIN_RETURN_SHARE = 0.1;
/** Added to the time of a promised permit, which is kept for longer, in ms. */
const MAX_PROMISE_JITTER_MS = 200;

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

/**
 * Waits until a replica can take the request. Refuses a request for an unknown
 * model, one whose predicted time is too long for the caller, and one for which
 * no replica is found in time. A request without a model that has failed at a
 * replica does not wait for another one.
 */
export async function acquireReplica(
  ctx: GatewayContext,
  scope: RequestScope,
  pending: PendingRequest,
): Promise<Result<ReplicaSelection, Refusal>> {
  const { clock, replicaTracker, waitingRequests, fleet } = ctx;
  const { request } = pending;
  const waitUntil = callerLeavesAt(scope, pending) - RESPONSE_RESERVE_MS;
  const name = formatModelName(request);
  if (!isServable(scope, request)) return err(refuseUnknownModel(request));
  if (replicaTracker.isBarred(request)) return err(refuseBarred(ctx, request));
  if (
    request.softwareVersion !== undefined && !replicaTracker.hasVersion(request)
  ) {
    return err(refuseGoneVersion(request));
  }
  let stopWaiting: (() => void) | undefined;
  try {
    while (!scope.signal.aborted) {
      const quarantined = refuseQuarantined(ctx, scope, request);
      if (quarantined) return err(quarantined);
      const checked = selectReplica(ctx, scope, pending);
      if (checked && !checked.ok) return checked;
      if (checked) {
        if (!await takePermit(ctx, scope, { request, ...checked.value })) {
          continue;
        }
        ctx.quarantine.recordSent(fingerprintOf(scope));
        return checked;
      }
      // A refusal would cut a stream that has begun, which waits instead.
      const claim = pending.waitingSince > scope.arrivedAt
        ? undefined
        : await claimPermit(ctx, scope, {
          request,
          withinMs: (scope.deadlineAt - clock.now()) * MAX_RETRY_AFTER_SHARE,
        });
      if (claim) return endClaim(ctx, scope, { ...pending, claim });
      if (replicaTracker.isBarred(request)) {
        return err(refuseBarred(ctx, request));
      }
      const leftMs = waitUntil - clock.now();
      const paused = refuseWhilePaused(ctx, { request, waitUntil });
      if (paused && name === undefined) return err(paused);
      if (leftMs <= 0 || (name === undefined && request.excluded.size > 0)) {
        return err(refuseNoReplica(ctx, request));
      }
      if (name !== undefined) {
        stopWaiting ??= waitingRequests.add(name, {
          version: request.softwareVersion,
          allowedRegions: intersect(request.allowedRegions ?? []),
        });
      }
      const refusal = paused ??
        refuseUntilLoaded(ctx, scope, { request, waitUntil });
      if (refusal) {
        // The model is still to be loaded for the caller that returns.
        waitingRequests.expectReturn(name!, refusal.retryAfterMs ?? 0);
        return err(refusal);
      }
      await fleet.changed.wait(
        Math.min(leftMs, RECHECK_INTERVAL_MS),
        scope.signal,
      );
    }
  } finally {
    stopWaiting?.();
  }
  return err(
    refuse("cancelled", "The caller disconnected or the deadline has passed"),
  );
}

/**
 * Acquires another replica for a request whose response is overdue. Undefined if
 * none can take it now.
 */
export async function acquireReplacement(
  ctx: GatewayContext,
  scope: RequestScope,
  pending: PendingRequest,
): Promise<ReplicaSelection | undefined> {
  const { request } = pending;
  if (refuseQuarantined(ctx, scope, request)) return undefined;
  const checked = selectReplica(ctx, scope, pending);
  if (!checked?.ok) return undefined;
  if (!await takePermit(ctx, scope, { request, ...checked.value })) {
    return undefined;
  }
  ctx.quarantine.recordSent(fingerprintOf(scope));
  return checked.value;
}

/**
 * Selects the replica that is predicted to respond first, or refuses a request
 * that none would answer in time. Undefined if none can take it now.
 */
function selectReplica(
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

/**
 * Ends the wait of a request that only the limits of replicas keep from being
 * sent: with the replica whose permit it claimed, or with a refusal.
 */
function endClaim(
  ctx: GatewayContext,
  scope: RequestScope,
  { claim, ...pending }: PendingRequest & { claim: PermitClaim },
): Result<ReplicaSelection, Refusal> {
  const { replicaTracker, quarantine, waitingRequests, random } = ctx;
  const { request } = pending;
  if (claim.kind === "granted") {
    const { server } = claim;
    const selection = replicaTracker.select(request, { only: server })!;
    const checked = checkPredictedTime(ctx, scope, { ...pending, selection });
    if (checked.ok) quarantine.recordSent(fingerprintOf(scope));
    return checked;
  }
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, claim.retryInMs) +
    MAX_PROMISE_JITTER_MS * random();
  const name = formatModelName(request);
  // Another replica may load the model for the caller that returns.
  if (name !== undefined) waitingRequests.expectReturn(name, retryAfterMs);
  return err(refuse(
    "replica_limit_reached",
    `The replicas of "${request.service}" take no more requests now`,
    { retryAfterMs },
  ));
}

/** Time at which the caller is assumed to leave without a further byte, in ms. */
function callerLeavesAt(
  { deadlineAt, route }: RequestScope,
  { waitingSince }: Pick<PendingRequest, "waitingSince">,
): number {
  return Math.min(deadlineAt, waitingSince + callerFirstByteTimeoutMs(route));
}

/** Regions that all lists name; undefined if there is no list. */
function intersect(
  lists: readonly (readonly string[])[],
): readonly string[] | undefined {
  const [first, ...others] = lists;
  return first?.filter((region) =>
    others.every((list) => list.includes(region))
  );
}

/** False only if the service has an engine that does not list the model. */
function isServable(
  { activeConfiguration }: RequestScope,
  request: SelectionRequest,
): boolean {
  const { services } = activeConfiguration.configuration;
  const engine = services.get(request.service)?.engine;
  if (!engine || request.model === undefined) return true;
  return engine.models.has(request.model);
}

function refuseUnknownModel({ model, service }: SelectionRequest): Refusal {
  return refuse("no_replica", `Service "${service}" has no model "${model}"`);
}

function refuseGoneVersion(
  { service, softwareVersion }: SelectionRequest,
): Refusal {
  return refuse(
    "stream_version_gone",
    `No replica of "${service}" runs version "${softwareVersion}", ` +
      "which began the stream",
  );
}

function checkPredictedTime(
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
function refuseBarred(
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
