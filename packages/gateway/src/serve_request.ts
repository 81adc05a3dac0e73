import type {
  Observation,
  ReplicaSelection,
  SelectionRequest,
  TrackedRequest,
} from "@banyanspool/routing";
import type { RetryBudget } from "@banyanspool/retry";
import type { Route } from "@banyanspool/types";
import { refuse } from "@banyanspool/types";
import { acquireReplica } from "./acquire_replica.ts";
import { consumeRateLimit } from "./admit_request.ts";
import type { GatewayContext } from "./context.ts";
import {
  endAborted,
  endTruncated,
  endWithoutRetry,
  refusalForFailedAttempt,
  refuseRequest,
  REJECTED_RETRY_AFTER_MS,
  summariseProgress,
} from "./final_responses.ts";
import { RequestProgress } from "./request_progress.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { relayPlainResponse, relayStream } from "./relay_response.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import {
  type AttemptOutcome,
  sendAttempt,
  type StartedResponse,
} from "./send_attempt.ts";

/** Sends after proven rejections, beside the attempts that may have run. */
const MAX_REJECTIONS = 3;
/** An answer is overdue after this many times its predicted time. */
const OVERDUE_FACTOR = 3;
/** It is not overdue before this part of its target has passed. */
const OVERDUE_TARGET_SHARE = 0.5;
/** Time that a second attempt must have left to be worth it, in ms. */
const MIN_ATTEMPT_MS = 20;
/** Milliseconds of a replica that reading a prompt token and writing one cost. */
const PROMPT_TOKEN_BUSY_MS = 0.015;
const OUTPUT_TOKEN_BUSY_MS = 0.05;
/** A replica's status from here on is its own failure. */
const FIRST_FAILURE_STATUS = 500;

/** One request on its way through attempts. */
interface Serving {
  readonly ctx: GatewayContext;
  readonly scope: RequestScope;
  readonly progress: RequestProgress;
  readonly request: SelectionRequest;
  readonly budget: RetryBudget;
}

/** Serves one admitted request to its final answer. */
export async function serveRequest(
  ctx: GatewayContext,
  scope: RequestScope,
): Promise<RequestOutcome> {
  const progress = RequestProgress.create();
  const refusal = await consumeRateLimit(ctx, scope);
  if (refusal) return refuseRequest(scope, refusal, progress);
  const outcome = await runAttempts(startServing(ctx, scope, progress));
  if (progress.replicas.length === 0 && scope.organisation) {
    ctx.limits.refund(scope.organisation, scope.cost);
  }
  return outcome;
}

function startServing(
  ctx: GatewayContext,
  scope: RequestScope,
  progress: RequestProgress,
): Serving {
  const { route, caller } = scope;
  const service = pickService(route, ctx.random);
  const budget = ctx.retryBudget(service);
  budget.recordRequest();
  if (route.repetition === "resumable") {
    progress.lastEventId = caller.lastEventId;
  }
  const request: SelectionRequest = {
    service,
    model: caller.model,
    adapter: caller.adapter,
    promptTokens: caller.tokens?.prompt ?? 0,
    outputTokens: caller.tokens?.output ?? 0,
    promptParts: caller.promptParts,
    excluded: progress.excluded,
  };
  if (request.model !== undefined) {
    const busyMs = request.promptTokens * PROMPT_TOKEN_BUSY_MS +
      request.outputTokens * OUTPUT_TOKEN_BUSY_MS;
    ctx.demand.record(request.model, busyMs);
  }
  return { ctx, scope, progress, request, budget };
}

/** Tries replicas until the request has its final answer. */
async function runAttempts(serving: Serving): Promise<RequestOutcome> {
  const { ctx, scope, progress, request, budget } = serving;
  while (true) {
    const askedAt = ctx.clock.now();
    const acquired = await acquireReplica(ctx, scope, request);
    progress.waitedMs += ctx.clock.now() - askedAt;
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
    const dispatch = ctx.replicaTracker.dispatch(request, acquired.value);
    try {
      const outcome = await runAttempt(serving, acquired.value, dispatch);
      if (outcome) return outcome;
    } finally {
      dispatch.finished();
    }
  }
}

/** Makes one attempt; undefined if another one should follow. */
async function runAttempt(
  serving: Serving,
  choice: ReplicaSelection,
  dispatch: TrackedRequest,
): Promise<RequestOutcome | undefined> {
  const { ctx, scope, progress, request } = serving;
  const { route, caller } = scope;
  const canRepeat = route.repetition !== "never" &&
    progress.possibleRuns + 1 < route.maxAttempts;
  progress.replicas.push(choice.server.id);
  const outcome = await sendAttempt(ctx, scope, {
    selection: choice,
    request,
    lastEventId: progress.lastEventId,
    headTimeoutMs: canRepeat
      ? Math.max(
        choice.predictedMs * OVERDUE_FACTOR,
        route.targetMs * OVERDUE_TARGET_SHARE,
      )
      : undefined,
    tryReserveRetry: () => reserveRetry(serving, choice),
  });
  ctx.log.write("attempt", {
    id: caller.id,
    replica: choice.server.id,
    model: caller.model,
    predicted_ms: Math.round(choice.predictedMs),
    in_flight: choice.inFlight,
    version: ctx.fleet.version,
    outcome: outcome.kind,
    reason: "reason" in outcome ? outcome.reason : undefined,
  });
  if (outcome.kind === "started") {
    return await finishStarted(serving, {
      outcome,
      choice,
      dispatch,
      canRepeat,
    });
  }
  return judgeUnanswered(serving, { outcome, choice, canRepeat });
}

/** Whether a request can go to another replica, which the budget then counts. */
function reserveRetry(
  { ctx, progress, request, budget }: Serving,
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

/** Relays an answer that has begun; undefined if another attempt follows. */
async function finishStarted(
  serving: Serving,
  { outcome, choice, dispatch, canRepeat }: {
    outcome: StartedResponse;
    choice: ReplicaSelection;
    dispatch: TrackedRequest;
    canRepeat: boolean;
  },
): Promise<RequestOutcome | undefined> {
  const { scope, progress, budget } = serving;
  const isFailure = outcome.head.status >= FIRST_FAILURE_STATUS;
  if (isFailure && canRepeat && hasTime(serving) && budget.take()) {
    // A safe request that failed at one replica may succeed at another.
    outcome.call.abort();
    progress.hasReservedRetry = true;
    return tryElsewhere(serving, choice, "status");
  }
  const ended = await relay(serving, outcome, dispatch.started);
  switch (ended) {
    case "whole":
      observe(serving, choice, isFailure ? "failure" : "success");
      return {
        result: "answered",
        status: outcome.head.status,
        ...summariseProgress(progress),
      };
    case "given up":
      return endAborted(scope, progress, true);
    default:
      if (canRepeat && hasTime(serving)) {
        return tryElsewhere(serving, choice, ended);
      }
      observe(serving, choice, "failure");
      return endTruncated(scope, progress);
  }
}

/** Notes that a replica failed the request, which goes on at another one. */
function tryElsewhere(
  serving: Serving,
  choice: ReplicaSelection,
  reason: string,
): undefined {
  const { ctx, progress } = serving;
  observe(serving, choice, "failure");
  progress.possibleRuns += 1;
  progress.excluded.add(choice.server.id);
  ctx.metrics.retries.inc({ reason });
}

/** Decides what follows an attempt without an answer. */
function judgeUnanswered(
  serving: Serving,
  { outcome, choice, canRepeat }: {
    outcome: Exclude<AttemptOutcome, { kind: "started" }>;
    choice: ReplicaSelection;
    canRepeat: boolean;
  },
): RequestOutcome | undefined {
  const { ctx, scope, progress, request } = serving;
  if (outcome.kind === "given up") return endAborted(scope, progress, true);
  let mayGoOn = canRepeat;
  if (outcome.kind === "notRun") {
    progress.rejections += 1;
    mayGoOn = progress.rejections <= MAX_REJECTIONS;
    // What was never sent has reached no replica and is no retry.
    if (!outcome.sent) progress.hasReservedRetry = true;
    // A replica that rejected a model may take it again soon, and may be the
    // only one; the board skips it for a while.
    if (request.model === undefined) progress.excluded.add(choice.server.id);
  } else {
    progress.possibleRuns += 1;
    progress.excluded.add(choice.server.id);
    observe(serving, choice, "failure");
  }
  if (!mayGoOn || !hasTime(serving)) {
    return endWithoutRetry(
      scope,
      refusalForFailedAttempt(ctx, outcome),
      progress,
    );
  }
  ctx.metrics.retries.inc({ reason: outcome.kind });
  return undefined;
}

/** Counts what a request saw of a replica. */
function observe(
  { ctx }: Serving,
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

async function relay(
  { ctx, scope, progress }: Serving,
  outcome: StartedResponse,
  started: () => void,
): Promise<"whole" | "lost" | "broken" | "given up"> {
  const onFirstByte = () => {
    started();
    if (progress.firstByteMs !== undefined) return;
    progress.firstByteMs = ctx.clock.now() - scope.arrivedAt;
    ctx.metrics.firstByte.observe(
      { route: scope.route.name },
      progress.firstByteMs / 1000,
    );
  };
  const isStream = scope.route.streaming &&
    outcome.head.status < FIRST_FAILURE_STATUS;
  if (!isStream) {
    onFirstByte();
    return (await relayPlainResponse(scope, outcome)).kind;
  }
  const relayed = await relayStream(scope, outcome, {
    onEvents: onFirstByte,
  });
  if (relayed.kind === "broken") {
    progress.lastEventId = relayed.lastEventId ?? progress.lastEventId;
  }
  return relayed.kind;
}

function hasTime({ ctx, scope }: Serving): boolean {
  return !scope.signal.aborted &&
    scope.deadlineAt - ctx.clock.now() > MIN_ATTEMPT_MS;
}

/** Draws the service by the weights of the route. */
function pickService(route: Route, random: () => number): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let drawn = random() * total;
  for (const { service, weight } of route.shares) {
    drawn -= weight;
    if (drawn < 0) return service;
  }
  return route.shares.at(-1)?.service ?? "";
}
