import { create } from "@bufbuild/protobuf";
import {
  type Refusal,
  refuse,
  type ReplicaReport,
  RETRYABLE_CODES,
} from "@banyanspool/types";
import { type RunRequest, RunRequestSchema } from "@banyanspool/wire";
import { computeBackoffMs } from "@banyanspool/retry";
import type { ResponseSink } from "./response_sink.ts";
import { type AttemptOutcome, runAttempt } from "./attempt.ts";
import type { EntryContext } from "./context.ts";
import type { RequestScope } from "./request_scope.ts";

const MAX_RETRIES = 3;
const BACKOFF_BASE_MS = 20;
const BACKOFF_MAX_MS = 500;
const RETRY_AFTER_MS = 1000;

/** Replica or agent chosen for one attempt. */
export interface AttemptTarget {
  /** Latest report of the replica, or of the agent behind a service. */
  readonly report: ReplicaReport;
  /** Called when the response starts. */
  readonly started: () => void;
  /** Called when the attempt ends, whatever its outcome. */
  readonly finished: () => void;
}

/** A request to relay and how to choose its targets. */
export interface RelayRequest {
  /** Fields of the request that are the same for every attempt. */
  readonly runRequest: Partial<
    Omit<RunRequest, "$typeName" | "$unknown" | "attempt">
  >;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
  /** Chooses a target outside `excluded`, or refuses if there is none. */
  readonly chooseTarget: (
    excluded: ReadonlySet<string>,
  ) => Promise<AttemptTarget | Refusal>;
  /** Receives the response. */
  readonly sink: ResponseSink;
  /** Called with the number of new tokens in each data frame. */
  readonly onTokens: (tokens: number) => void;
  /** Called each time an attempt starts to respond. */
  readonly onStarted: () => void;
}

/** Outcome of a relayed request over all its attempts. */
export type RelayOutcome =
  | Extract<AttemptOutcome, { kind: "finished" }>
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Outcome of a relayed request and the replicas that it was sent to. */
export interface RelayResult {
  /** Outcome that the caller receives. */
  readonly outcome: RelayOutcome;
  /** Replicas that were tried, in order of the attempts. */
  readonly triedReplicas: readonly string[];
}

/**
 * Relays a request to a target and retries it on another one. A retry follows
 * only while no byte of the response has been delivered, and only if the
 * request certainly has not run or is idempotent.
 */
export async function relay(
  ctx: EntryContext,
  scope: RequestScope,
  request: RelayRequest,
): Promise<RelayResult> {
  const excluded = new Set<string>();
  const triedReplicas: string[] = [];
  ctx.retryBudget.recordRequest();
  let lastRefusal: Refusal | undefined;
  let mayHaveRun = false;
  const endWith = (refusal: Refusal) =>
    createRefusedResult(refusal, { mayHaveRun, triedReplicas });
  for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
    const target = await request.chooseTarget(excluded);
    if (!("report" in target)) return endWith(lastRefusal ?? target);
    triedReplicas.push(target.report.replica);
    const outcome = await runOneAttempt(ctx, scope, { request, target });
    if (outcome.kind === "finished") {
      return { outcome, triedReplicas };
    }
    if (outcome.kind === "aborted") return endWith(scope.abortReason!);
    lastRefusal = toRefusal(outcome, target.report.replica);
    mayHaveRun ||= lastRefusal.ran === "unknown";
    avoidAfterRefusal(ctx, lastRefusal, { request, target });
    if (!mayRetry(lastRefusal, outcome, request)) return endWith(lastRefusal);
    if (!ctx.retryBudget.take()) {
      ctx.metrics.refusals.inc({ code: "retry_budget_spent" });
      return endWith(lastRefusal);
    }
    ctx.metrics.retries.inc({ reason: lastRefusal.code });
    excluded.add(target.report.replica);
    request.sink.reset();
    await backOff(ctx, scope, retry);
  }
  return endWith(lastRefusal!);
}

async function runOneAttempt(
  ctx: EntryContext,
  scope: RequestScope,
  { request, target }: { request: RelayRequest; target: AttemptTarget },
): Promise<AttemptOutcome> {
  const { report } = target;
  const run = create(RunRequestSchema, {
    ...request.runRequest,
    attempt: {
      entry: ctx.cfg.instance,
      entryIncarnation: BigInt(ctx.incarnation),
      sequence: BigInt(ctx.nextAttemptSequence()),
    },
    agentIncarnation: BigInt(report.agentIncarnation),
    requestId: scope.requestId,
    replica: report.replica,
    idempotent: request.idempotent,
    finishWithinMs: Math.max(1, Math.floor(scope.remainingMs())),
  });
  try {
    return await runAttempt({
      pool: ctx.pool,
      sleep: ctx.sleep,
      now: ctx.clock.now,
      address: report.address,
      request: run,
      sink: request.sink,
      signal: scope.signal,
      onStarted: () => {
        target.started();
        request.onStarted();
      },
      onTokens: request.onTokens,
      onQueuedTokens: (tokens) =>
        ctx.router.updateQueue(report.replica, tokens),
      onDroppedFrame: (reason) => ctx.metrics.droppedFrames.inc({ reason }),
    });
  } finally {
    target.finished();
  }
}

/** Makes the router avoid a replica that can't serve further requests. */
function avoidAfterRefusal(
  ctx: EntryContext,
  refusal: Refusal,
  { request, target }: { request: RelayRequest; target: AttemptTarget },
): void {
  const { replica } = target.report;
  const { model } = request.runRequest;
  switch (refusal.code) {
    case "not_ready":
      if (model) ctx.router.avoidModel(replica, model);
      return;
    case "draining":
    case "incarnation_changed":
    case "no_replica":
      ctx.router.avoid(replica);
      return;
    case "outcome_unknown":
      // For a model request the replica's agent is unreachable; a service call
      // may also fail because of the service behind a healthy agent.
      if (model) ctx.router.avoid(replica);
  }
}

function toRefusal(
  outcome: Exclude<AttemptOutcome, { kind: "finished" | "aborted" }>,
  replica: string,
): Refusal {
  if (outcome.kind === "refused") return outcome.refusal;
  return refuse(
    "outcome_unknown",
    `Connection to replica "${replica}" was lost during the request: ${outcome.detail}`,
    { ran: "unknown" },
  );
}

function mayRetry(
  refusal: Refusal,
  outcome: AttemptOutcome,
  { idempotent, sink }: RelayRequest,
): boolean {
  if (sink.deliveredBytes > 0) return false;
  if (refusal.ran === "no") return RETRYABLE_CODES.has(refusal.code);
  if (!idempotent) return false;
  return outcome.kind === "lost" || refusal.code === "engine_failed";
}

/**
 * Builds the final refusal. If any attempt may have run, the refusal says
 * "unknown" even when the last attempt certainly has not run.
 */
function createRefusedResult(
  refusal: Refusal,
  { mayHaveRun, triedReplicas }: {
    mayHaveRun: boolean;
    triedReplicas: readonly string[];
  },
): RelayResult {
  const isTemporary = RETRYABLE_CODES.has(refusal.code);
  const retryAfterMs = refusal.retryAfterMs ??
    (isTemporary ? RETRY_AFTER_MS : undefined);
  const ran = mayHaveRun ? "unknown" : refusal.ran;
  const final = refuse(refusal.code, refusal.message, { ran, retryAfterMs });
  return {
    outcome: { kind: "refused", refusal: final },
    triedReplicas,
  };
}

async function backOff(
  ctx: EntryContext,
  scope: RequestScope,
  retry: number,
): Promise<void> {
  const waitMs = computeBackoffMs(retry, {
    baseMs: BACKOFF_BASE_MS,
    maxMs: BACKOFF_MAX_MS,
    random: ctx.random,
  });
  await ctx.sleep(waitMs, scope.signal).catch(() => {});
}
