import type { BoardRequest } from "@banyanspool/routing";
import type { Refusal, Route } from "@banyanspool/types";
import { refuse } from "@banyanspool/types";
import { acquireReplica } from "./acquire_replica.ts";
import { takeFromLimit } from "./admit_request.ts";
import type { GatewayContext } from "./context.ts";
import { answerRefusal, spreadRetryAfter } from "./refusals.ts";
import { relayPlainAnswer, relayStream } from "./relay_answer.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import { type AttemptOutcome, sendAttempt } from "./send_attempt.ts";

/** Sends after proven rejections, beside the attempts that may have run. */
const MAX_REJECTIONS = 3;
/** When to come back after a rejection. */
const REJECTED_RETRY_MS = 300;
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

/** Serves one admitted request to its final answer. */
export async function serveRequest(
  ctx: GatewayContext,
  scope: RequestScope,
): Promise<RequestOutcome> {
  const refusal = await takeFromLimit(ctx, scope);
  if (refusal) return refuseRequest(scope, refusal, new Progress());
  const progress = new Progress();
  const outcome = await runAttempts(ctx, scope, progress);
  if (progress.replicas.length === 0 && scope.organisation) {
    ctx.bucket.refund(scope.organisation, scope.cost);
  }
  return outcome;
}

/** What has become of a request so far. */
class Progress {
  readonly replicas: string[] = [];
  readonly excluded: Set<string> = new Set();
  attempts = 0;
  rejections = 0;
  mayHaveRun = false;
  /** Whether the next attempt has been taken from the retry budget. */
  hasBudget = false;
  waitedMs = 0;
  firstByteMs: number | undefined;
  lastEventId: string | undefined;
}

async function runAttempts(
  ctx: GatewayContext,
  scope: RequestScope,
  progress: Progress,
): Promise<RequestOutcome> {
  const { route, caller } = scope;
  const service = pickService(route, ctx.random);
  const budget = ctx.retryBudget(service);
  budget.recordRequest();
  progress.lastEventId = route.repetition === "resumable"
    ? caller.lastEventId
    : undefined;
  const request: BoardRequest = {
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
  while (true) {
    const askedAt = ctx.clock.now();
    const acquired = await acquireReplica(ctx, scope, request);
    progress.waitedMs += ctx.clock.now() - askedAt;
    if (!acquired.ok) return giveUp(scope, acquired.error, progress);
    const choice = acquired.value;
    const { server } = choice;
    const needsBudget = progress.replicas.length > 0 && !progress.hasBudget;
    progress.hasBudget = false;
    if (needsBudget && !budget.take()) {
      return giveUp(
        scope,
        refuse("retry_budget_spent", "No further attempt is allowed now", {
          retryAfterMs: spreadRetryAfter(REJECTED_RETRY_MS, ctx.random),
        }),
        progress,
      );
    }
    const canRepeat = route.repetition !== "never" &&
      progress.attempts + 1 < route.maxAttempts;
    progress.replicas.push(server.id);
    const dispatch = ctx.board.dispatch(request, choice);
    const outcome = await sendAttempt(ctx, scope, {
      choice,
      request,
      lastEventId: progress.lastEventId,
      headTimeoutMs: canRepeat
        ? Math.max(
          choice.predictedMs * OVERDUE_FACTOR,
          route.targetMs * OVERDUE_TARGET_SHARE,
        )
        : undefined,
    });
    ctx.log.write("attempt", {
      id: caller.id,
      replica: server.id,
      model: caller.model,
      predicted_ms: Math.round(choice.predictedMs),
      in_flight: choice.inFlight,
      candidates_version: ctx.fleet.version,
      outcome: outcome.kind,
      reason: "reason" in outcome ? outcome.reason : undefined,
    });
    const observe = (observation: "success" | "failure") => {
      const ejected = ctx.board.outliers.record(service, {
        replica: server.id,
        observation,
      });
      if (!ejected) return;
      ctx.metrics.ejections.inc({ service });
      ctx.log.write("replica ejected", { replica: server.id, service });
    };
    try {
      if (outcome.kind === "started") {
        const isFailure = outcome.head.status >= FIRST_FAILURE_STATUS;
        if (isFailure && canRepeat && hasTime(ctx, scope) && budget.take()) {
          // A safe request that failed at one replica may succeed at another.
          outcome.call.abort();
          observe("failure");
          progress.mayHaveRun = true;
          progress.attempts += 1;
          progress.excluded.add(server.id);
          progress.hasBudget = true;
          ctx.metrics.retries.inc({ reason: "status" });
          continue;
        }
        const ended = await relay(ctx, scope, {
          outcome,
          progress,
          started: dispatch.started,
        });
        if (ended === "whole") {
          observe(isFailure ? "failure" : "success");
          return {
            result: "answered",
            status: outcome.head.status,
            ...summarise(progress),
          };
        }
        if (ended === "given up") return endGivenUp(scope, progress, true);
        observe("failure");
        progress.mayHaveRun = true;
        progress.attempts += 1;
        if (!canRepeat || !hasTime(ctx, scope)) {
          return breakOff(scope, progress);
        }
        progress.excluded.add(server.id);
        ctx.metrics.retries.inc({ reason: ended });
        continue;
      }
      const next = judge(outcome, progress);
      if (outcome.kind !== "given up" && outcome.kind !== "notRun") {
        observe("failure");
      }
      if (next === "given up") return endGivenUp(scope, progress, true);
      // A replica that rejected a model may take it again soon, and may be the
      // only one; the board skips it for a while.
      if (outcome.kind !== "notRun" || request.model === undefined) {
        progress.excluded.add(server.id);
      }
      const mayGoOn = outcome.kind === "notRun"
        ? progress.rejections <= MAX_REJECTIONS
        : canRepeat;
      if (!mayGoOn || !hasTime(ctx, scope)) {
        return giveUp(scope, refuseAfter(ctx, outcome), progress);
      }
      ctx.metrics.retries.inc({ reason: outcome.kind });
    } finally {
      dispatch.finished();
    }
  }
}

function judge(
  outcome: AttemptOutcome,
  progress: Progress,
): "go on" | "given up" {
  switch (outcome.kind) {
    case "given up":
      progress.mayHaveRun = true;
      return "given up";
    case "notRun":
      progress.rejections += 1;
      // What was never sent has reached no replica and is no retry.
      if (!outcome.sent) progress.hasBudget = true;
      return "go on";
    default:
      progress.attempts += 1;
      progress.mayHaveRun = true;
      return "go on";
  }
}

async function relay(
  ctx: GatewayContext,
  scope: RequestScope,
  { outcome, progress, started }: {
    outcome: AttemptOutcome & { kind: "started" };
    progress: Progress;
    started: () => void;
  },
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
    return (await relayPlainAnswer(scope, outcome)).kind;
  }
  const relayed = await relayStream(scope, outcome, {
    onFirstEvent: onFirstByte,
  });
  if (relayed.kind === "broken") {
    progress.lastEventId = relayed.lastEventId ?? progress.lastEventId;
  }
  return relayed.kind;
}

function hasTime(ctx: GatewayContext, scope: RequestScope): boolean {
  return !scope.signal.aborted &&
    scope.finalAt - ctx.clock.now() > MIN_ATTEMPT_MS;
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

function refuseAfter(
  ctx: GatewayContext,
  outcome: AttemptOutcome,
): Refusal {
  if (outcome.kind === "notRun") {
    return refuse("overloaded", "The replicas rejected the request", {
      retryAfterMs: spreadRetryAfter(REJECTED_RETRY_MS, ctx.random),
    });
  }
  return refuse("outcome_unknown", "The replica's answer was lost", {
    ran: "unknown",
  });
}

/** Ends a request for which no further attempt is made. */
function giveUp(
  scope: RequestScope,
  refusal: Refusal,
  progress: Progress,
): RequestOutcome {
  if (scope.signal.aborted) {
    return endGivenUp(scope, progress, progress.mayHaveRun);
  }
  if (!progress.mayHaveRun) return refuseRequest(scope, refusal, progress);
  return refuseRequest(
    scope,
    refuse("outcome_unknown", refusal.message, { ran: "unknown" }),
    progress,
  );
}

/** Ends a request whose caller has left or whose final answer is due. */
function endGivenUp(
  scope: RequestScope,
  progress: Progress,
  mayHaveRun: boolean,
): RequestOutcome {
  if (scope.res.destroyed) return { result: "left", ...summarise(progress) };
  return refuseRequest(
    scope,
    refuse("deadline_passed", "The request's time is over", {
      ran: mayHaveRun ? "unknown" : "no",
      retryAfterMs: mayHaveRun ? undefined : REJECTED_RETRY_MS,
    }),
    progress,
  );
}

function breakOff(scope: RequestScope, progress: Progress): RequestOutcome {
  if (!scope.res.headersSent) {
    return refuseRequest(
      scope,
      refuse("outcome_unknown", "The replica's answer broke off", {
        ran: "unknown",
      }),
      progress,
    );
  }
  // An answer that ended early must not look whole.
  scope.res.destroy();
  return { result: "broken", ...summarise(progress) };
}

function refuseRequest(
  scope: RequestScope,
  refusal: Refusal,
  progress: Progress,
): RequestOutcome {
  const isBroken = scope.res.headersSent;
  answerRefusal(scope.res, refusal);
  return {
    result: isBroken ? "broken" : refusal.code,
    detail: refusal.message,
    status: isBroken ? undefined : scope.res.statusCode,
    ...summarise(progress),
  };
}

function summarise(
  progress: Progress,
): Pick<RequestOutcome, "replicas" | "waitedMs" | "firstByteMs"> {
  const { replicas, waitedMs, firstByteMs } = progress;
  return { replicas, waitedMs, firstByteMs };
}
