import type {
  Observation,
  ReplicaSelection,
  TrackedRequest,
} from "@banyanspool/routing";
import { refuse } from "@banyanspool/types";
import { acquireReplica } from "./acquire_replica.ts";
import {
  endAborted,
  endTruncated,
  endWithoutRetry,
  refusalForFailedAttempt,
  REJECTED_RETRY_AFTER_MS,
  summariseProgress,
} from "./final_responses.ts";
import { sharedPartIds } from "./prompt_parts.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { relayResponse } from "./relay_attempt.ts";
import { isEventStream } from "./relay_response.ts";
import type { RequestExecution } from "./request_execution.ts";
import type { RequestOutcome } from "./request_scope.ts";
import {
  type AttemptOutcome,
  sendAttempt,
  type StartedResponse,
} from "./send_attempt.ts";

/**
 * Maximum number of rejections by replicas after which a request is sent again.
 * Rejections don't count as attempts, as no replica has run the request.
 */
const MAX_REJECTIONS = 3;
/** Multiple of the predicted time after which a response is overdue. */
const OVERDUE_FACTOR = 3;
/** Share of the route's target time before which no response is overdue. */
const OVERDUE_TARGET_SHARE = 0.5;
/** Time left below which no further attempt is made, in ms. */
const MIN_ATTEMPT_MS = 20;
/** Lowest HTTP status that counts as a failure of the replica. */
const FIRST_FAILURE_STATUS = 500;

/** Makes attempts until the request has its final response. */
export async function runAttempts(
  execution: RequestExecution,
): Promise<RequestOutcome> {
  const { ctx, scope, progress, request, budget } = execution;
  while (true) {
    const waitStartedAt = ctx.clock.now();
    const waitingSince = progress.lastEventAt ?? scope.arrivedAt;
    const acquired = await acquireReplica(ctx, scope, {
      request,
      waitingSince,
    });
    progress.waitedMs += ctx.clock.now() - waitStartedAt;
    if (!acquired.ok) return endWithoutRetry(scope, acquired.error, progress);
    const needsBudget = progress.replicas.length > 0 &&
      !progress.hasReservedRetry;
    progress.hasReservedRetry = false;
    if (needsBudget && !budget.take()) {
      const refusal = refuse(
        "retry_budget_spent",
        "No further attempt is allowed now",
        { retryAfterMs: jitterRetryAfter(REJECTED_RETRY_AFTER_MS, ctx.random) },
      );
      return endWithoutRetry(scope, refusal, progress);
    }
    const trackedRequest = ctx.replicaTracker.dispatch(request, acquired.value);
    try {
      const outcome = await runAttempt(
        execution,
        acquired.value,
        trackedRequest,
      );
      if (outcome) return outcome;
    } finally {
      trackedRequest.finished();
    }
  }
}

/** Makes one attempt. Returns undefined if another one should follow. */
async function runAttempt(
  execution: RequestExecution,
  selection: ReplicaSelection,
  trackedRequest: TrackedRequest,
): Promise<RequestOutcome | undefined> {
  const { ctx, scope, progress, request } = execution;
  const { route, caller } = scope;
  const canRepeat = route.retrySafety !== "never" &&
    progress.possibleRuns + 1 < route.maxAttempts;
  progress.replicas.push(selection.server.id);
  const outcome = await sendAttempt(ctx, scope, {
    selection,
    request,
    lastEventId: progress.lastEventId,
    headTimeoutMs: canRepeat
      ? Math.max(
        selection.predictedMs * OVERDUE_FACTOR,
        route.targetLatencyMs * OVERDUE_TARGET_SHARE,
      )
      : undefined,
    tryReserveRetry: () => reserveRetry(execution, selection),
  });
  ctx.log.write("attempt", {
    id: caller.id,
    replica: selection.server.id,
    model: caller.model,
    predicted_ms: Math.round(selection.predictedMs),
    in_flight: selection.inFlight,
    version: ctx.fleet.version,
    outcome: outcome.kind,
    reason: "reason" in outcome ? outcome.reason : undefined,
    prompt_parts: outcome.kind === "unknown"
      ? sharedPartIds(request.promptParts)
      : undefined,
  });
  if (outcome.kind === "started") {
    return await finishResponse(execution, {
      response: outcome,
      selection,
      trackedRequest,
      canRepeat,
    });
  }
  return handleFailedAttempt(execution, { outcome, selection, canRepeat });
}

/**
 * Returns whether the request can be retried at another replica. If so, the
 * retry has been taken from the retry budget.
 */
function reserveRetry(
  { ctx, progress, request, budget }: RequestExecution,
  { server }: ReplicaSelection,
): boolean {
  const excluded = new Set([...progress.excluded, server.id]);
  if (ctx.replicaTracker.candidates({ ...request, excluded }).length === 0) {
    return false;
  }
  if (!budget.take()) return false;
  progress.hasReservedRetry = true;
  return true;
}

/**
 * Relays a response whose head has arrived. Returns undefined if another
 * attempt should follow.
 */
async function finishResponse(
  execution: RequestExecution,
  { response, selection, trackedRequest, canRepeat }: {
    response: StartedResponse;
    selection: ReplicaSelection;
    trackedRequest: TrackedRequest;
    canRepeat: boolean;
  },
): Promise<RequestOutcome | undefined> {
  const { scope, progress, budget } = execution;
  const isFailure = response.head.status >= FIRST_FAILURE_STATUS;
  if (isFailure && canRepeat && hasTimeForAttempt(execution) && budget.take()) {
    // A repeatable request that failed at one replica may succeed at another.
    response.call.abort();
    progress.hasReservedRetry = true;
    return recordRetry(execution, selection, "status");
  }
  if (scope.res.headersSent && !isEventStream(response)) {
    // Anything else would end the caller's stream as if it were complete.
    response.call.abort();
    recordObservation(execution, selection, "failure");
    return endTruncated(scope, progress);
  }
  const relayed = await relayResponse(execution, {
    response,
    selection,
    markStarted: trackedRequest.started,
  });
  switch (relayed.kind) {
    case "whole":
      recordObservation(
        execution,
        selection,
        isFailure ? "failure" : "success",
      );
      return {
        result: "answered",
        status: response.head.status,
        ...summariseProgress(progress),
      };
    case "given up":
      return endAborted(scope, progress, true);
    default:
      if (canRepeat && hasTimeForAttempt(execution) && canResume(execution)) {
        return recordRetry(execution, selection, relayed.kind);
      }
      recordObservation(execution, selection, "failure");
      return endTruncated(scope, progress);
  }
}

/**
 * Whether another attempt may go on where the response to the caller stands.
 */
function canResume({ scope, progress }: RequestExecution): boolean {
  if (!scope.res.headersSent) return true;
  return progress.lastEventId !== undefined &&
    progress.streamVersion !== undefined;
}

/**
 * Records that a replica failed the request, which is retried at another one.
 */
function recordRetry(
  execution: RequestExecution,
  selection: ReplicaSelection,
  reason: string,
): undefined {
  const { ctx, progress } = execution;
  recordObservation(execution, selection, "failure");
  progress.possibleRuns += 1;
  progress.excluded.add(selection.server.id);
  ctx.metrics.retries.inc({ reason });
}

/**
 * Decides what follows an attempt without a response. Returns undefined if
 * another attempt should follow.
 */
function handleFailedAttempt(
  execution: RequestExecution,
  { outcome, selection, canRepeat }: {
    outcome: Exclude<AttemptOutcome, { kind: "started" }>;
    selection: ReplicaSelection;
    canRepeat: boolean;
  },
): RequestOutcome | undefined {
  const { ctx, scope, progress, request } = execution;
  if (outcome.kind === "given up") {
    return endAborted(scope, progress, outcome.sent || progress.mayHaveRun);
  }
  let canRetry = canRepeat;
  if (outcome.kind === "notRun") {
    progress.rejections += 1;
    canRetry = progress.rejections <= MAX_REJECTIONS;
    // A request that was never sent has reached no replica, so the next
    // attempt is not a retry and needs no retry budget.
    if (!outcome.sent) progress.hasReservedRetry = true;
    // A replica that rejected a model may accept it again soon, and may be the
    // only one with it. The load tracker skips the replica for a while instead.
    if (request.model === undefined) progress.excluded.add(selection.server.id);
  } else {
    progress.possibleRuns += 1;
    progress.excluded.add(selection.server.id);
    recordObservation(execution, selection, "failure");
    if (outcome.kind === "unknown") {
      const parts = sharedPartIds(request.promptParts);
      ctx.crashWatch.recordCutOff(selection.server, parts);
    }
  }
  if (!canRetry || !hasTimeForAttempt(execution)) {
    return endWithoutRetry(
      scope,
      refusalForFailedAttempt(ctx, outcome),
      progress,
    );
  }
  ctx.metrics.retries.inc({ reason: outcome.kind });
  return undefined;
}

/** Reports the success or failure of a replica to outlier detection. */
function recordObservation(
  { ctx }: RequestExecution,
  { server }: ReplicaSelection,
  observation: Observation,
): void {
  const { id, service } = server;
  const isEjected = ctx.replicaTracker.outliers.record(service, {
    replica: id,
    observation,
  });
  if (!isEjected) return;
  ctx.metrics.ejections.inc({ service });
  ctx.log.write("replica ejected", { replica: id, service });
}

function hasTimeForAttempt({ ctx, scope }: RequestExecution): boolean {
  return !scope.signal.aborted &&
    scope.deadlineAt - ctx.clock.now() > MIN_ATTEMPT_MS;
}
