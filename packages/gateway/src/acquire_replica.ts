import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName } from "@banyanspool/routing";
import type { Refusal, Result } from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import {
  callerLeavesAt,
  MAX_RETRY_AFTER_SHARE,
  type PendingRequest,
  RESPONSE_RESERVE_MS,
} from "./caller_wait.ts";
import type { GatewayContext } from "./context.ts";
import { claimPermit, type PermitClaim, takePermit } from "./replica_permit.ts";
import {
  checkPredictedTime,
  decide,
  MIN_RETRY_AFTER_MS,
  refuseBarred,
  selectReplica,
} from "./replica_decision.ts";
import { refuseQuarantined } from "./refuse_quarantined.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import { priorityOf, type RequestScope } from "./request_scope.ts";
import { type WaitingFields, WaitingRoom } from "./waiting_room.ts";

export {
  callerFirstByteTimeoutMs,
  type PendingRequest,
} from "./caller_wait.ts";

/** Added to the time of a promised permit, which is kept for longer, in ms. */
const MAX_PROMISE_JITTER_MS = 200;

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
  const { request } = pending;
  const refusal = refuseInVain(ctx, scope, request);
  if (refusal) return err(refusal);
  const name = formatModelName(request);
  let stopWaiting: (() => void) | undefined;
  const onUnavailable = () => {
    if (name === undefined) return;
    stopWaiting ??= ctx.waitingRequests.add(name, {
      version: request.softwareVersion,
      allowedRegions: intersect(request.allowedRegions ?? []),
    });
  };
  try {
    return await waitForReplica(ctx, scope, { ...pending, onUnavailable });
  } finally {
    stopWaiting?.();
  }
}

async function waitForReplica(
  ctx: GatewayContext,
  scope: RequestScope,
  pending: PendingRequest & { readonly onUnavailable: () => void },
): Promise<Result<ReplicaSelection, Refusal>> {
  const { request } = pending;
  const { service } = request;
  const room = WaitingRoom.of(ctx);
  while (true) {
    const decision = await room.wait(waitingFields(scope, pending), {
      service,
      needs: needsOf(scope, pending),
      decide: () => decide(ctx, scope, pending),
      deadlineAt: scope.deadlineAt,
      signal: scope.signal,
    });
    switch (decision.kind) {
      case "refuse":
        return err(decision.refusal);
      case "left":
        return err(refuse(
          "cancelled",
          "The caller disconnected or the deadline has passed",
        ));
      case "claim": {
        const claim = await claimPermit(ctx, scope, {
          request,
          withinMs: (scope.deadlineAt - ctx.clock.now()) *
            MAX_RETRY_AFTER_SHARE,
        });
        if (claim) return endClaim(ctx, scope, { ...pending, claim });
        break;
      }
      case "send": {
        const { selection } = decision;
        if (!await takePermit(ctx, scope, { request, ...selection })) break;
        ctx.quarantine.recordSent(fingerprintOf(scope));
        return ok(selection);
      }
    }
  }
}

/** Refuses a request that no replica of its service may or can ever take. */
function refuseInVain(
  ctx: GatewayContext,
  scope: RequestScope,
  request: SelectionRequest,
): Refusal | undefined {
  const { replicaTracker } = ctx;
  if (!isServable(scope, request)) return refuseUnknownModel(request);
  if (replicaTracker.isBarred(request)) return refuseBarred(ctx, request);
  const isGone = request.softwareVersion !== undefined &&
    !replicaTracker.hasVersion(request);
  return isGone ? refuseGoneVersion(request) : undefined;
}

/** What the order of waiting requests goes by. */
function waitingFields(
  scope: RequestScope,
  pending: PendingRequest,
): WaitingFields {
  const { request, waitingSince } = pending;
  const { service, promptTokens, outputTokens } = request;
  return {
    name: `${service} ${formatModelName(request) ?? ""}`,
    organisation: scope.organisation?.name ?? "",
    priority: priorityOf(scope),
    leavesAt: callerLeavesAt(scope, pending) - RESPONSE_RESERVE_MS,
    bytes: scope.body?.length ?? 0,
    tokens: Math.max(1, promptTokens + outputTokens),
    isStarted: waitingSince > scope.arrivedAt,
  };
}

/** Requests with the same needs can be sent to the same replicas. */
function needsOf(
  { arrivedAt }: RequestScope,
  { request, waitingSince }: PendingRequest,
): string {
  const { softwareVersion, allowedRegions = [], excluded } = request;
  // Streams that are resumed wait for a permit, others claim one.
  const isResumed = waitingSince > arrivedAt;
  return JSON.stringify([
    softwareVersion,
    allowedRegions,
    [...excluded].sort(),
    isResumed,
  ]);
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
