import type { Observation, ReplicaSelection } from "@banyanspool/routing";
import {
  endAborted,
  endTruncated,
  endUnproven,
  endWithoutRetry,
  refusalForFailedAttempt,
  summariseProgress,
} from "./final_responses.ts";
import type { PendingAttempt } from "./pending_attempt.ts";
import { FIRST_FAILURE_STATUS, relayResponse } from "./relay_attempt.ts";
import { isEventStream } from "./relay_response.ts";
import type { RequestExecution } from "./request_execution.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { RequestOutcome } from "./request_scope.ts";
import type { AttemptOutcome, StartedResponse } from "./send_attempt.ts";

/**
 * Maximum number of rejections by replicas after which a request is sent again.
 * Rejections don't count as attempts, as no replica has run the request.
 */
const MAX_REJECTIONS = 3;
/** Statuses by which a response promises that the request hasn't run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Time left below which no further attempt is made, in ms. */
const MIN_ATTEMPT_MS = 20;

/**
 * Whether the request may be sent to another replica, besides the attempts that
 * are in flight.
 */
export function mayRepeat(
  { scope, progress }: RequestExecution,
  inFlight: number,
): boolean {
  const { retrySafety, maxAttempts } = scope.route;
  return retrySafety !== "never" &&
    progress.possibleRuns + inFlight < maxAttempts;
}

/** Whether a response has begun that is no failure of the replica. */
export function hasUsableResponse({ outcome }: PendingAttempt): boolean {
  return outcome?.kind === "started" &&
    outcome.head.status < FIRST_FAILURE_STATUS;
}

/**
 * Ends the last attempt in flight: relays its response, or decides what follows.
 * Returns undefined if another attempt should follow.
 */
export async function finishAttempt(
  execution: RequestExecution,
  attempt: PendingAttempt,
): Promise<RequestOutcome | undefined> {
  const outcome = attempt.outcome!;
  if (outcome.kind === "started") {
    return await finishResponse(execution, attempt, outcome);
  }
  return handleFailedAttempt(execution, attempt, outcome);
}

/**
 * Relays a response whose head has arrived. Returns undefined if another
 * attempt should follow.
 */
async function finishResponse(
  execution: RequestExecution,
  attempt: PendingAttempt,
  response: StartedResponse,
): Promise<RequestOutcome | undefined> {
  const { scope, progress, budget } = execution;
  const { selection, trackedRequest } = attempt;
  const canRepeat = mayRepeat(execution, 1);
  const isFailure = response.head.status >= FIRST_FAILURE_STATUS;
  if (isFailure && canRepeat && hasTimeForAttempt(execution) && budget.take()) {
    // A repeatable request that failed at one replica may succeed at another.
    response.call.abort();
    progress.hasReservedRetry = true;
    return recordRetry(execution, selection, {
      reason: "status",
      observation: response.asksForPause ? undefined : "failure",
    });
  }
  if (
    scope.route.retrySafety === "never" &&
    NOT_RUN_STATUSES.has(response.head.status)
  ) {
    response.call.abort();
    if (!response.asksForPause) {
      recordObservation(execution, selection, "failure");
    }
    return endUnproven(scope, progress);
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
    markStarted: () => trackedRequest.started(isFailure ? "error" : "result"),
  });
  switch (relayed.kind) {
    case "whole":
      attempt.finish("complete");
      if (!response.asksForPause) {
        const observation = isFailure ? "failure" : "success";
        recordObservation(execution, selection, observation);
      }
      return {
        result: "answered",
        status: response.head.status,
        ...summariseProgress(progress),
      };
    case "given up":
      return endAborted(scope, progress, true);
    default:
      if (canRepeat && hasTimeForAttempt(execution) && canResume(execution)) {
        return recordRetry(execution, selection, {
          reason: relayed.kind,
          observation: "failure",
        });
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
 * Records that a replica failed the request, which is retried at another one. It
 * is observed as a failure unless the replica only asked for a pause.
 */
function recordRetry(
  execution: RequestExecution,
  selection: ReplicaSelection,
  { reason, observation }: { reason: string; observation?: Observation },
): undefined {
  const { ctx, progress } = execution;
  if (observation) recordObservation(execution, selection, observation);
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
  attempt: PendingAttempt,
  outcome: Exclude<AttemptOutcome, { kind: "started" }>,
): RequestOutcome | undefined {
  const { ctx, scope, progress } = execution;
  if (outcome.kind === "given up") {
    return endAborted(scope, progress, outcome.sent || progress.mayHaveRun);
  }
  const canRepeat = mayRepeat(execution, 1);
  recordFailure(execution, attempt);
  const canRetry = outcome.kind === "notRun"
    ? progress.rejections <= MAX_REJECTIONS
    : canRepeat;
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

/** Records what an attempt without a usable response tells of its replica. */
export function recordFailure(
  execution: RequestExecution,
  { selection, outcome }: PendingAttempt,
): void {
  const { ctx, scope, progress, request } = execution;
  const { server } = selection;
  if (outcome?.kind === "notRun") {
    progress.rejections += 1;
    // A request that was never sent has reached no replica, so the next
    // attempt is not a retry and needs no retry budget.
    if (!outcome.sent) progress.hasReservedRetry = true;
    // A replica that rejected a model may accept it again soon, and may be the
    // only one with it. The load tracker skips the replica for a while instead.
    if (request.model === undefined) progress.excluded.add(server.id);
    return;
  }
  progress.possibleRuns += 1;
  progress.excluded.add(server.id);
  const asksForPause = outcome?.kind === "started" && outcome.asksForPause;
  if (!asksForPause) recordObservation(execution, selection, "failure");
  if (outcome?.kind === "started") outcome.call.abort();
  if (outcome?.kind === "unknown") {
    progress.crashCheck = ctx.crashWatch.recordCutOff(
      server,
      fingerprintOf(scope),
    );
  }
}

/** Reports the success or failure of a replica to outlier detection. */
export function recordObservation(
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
