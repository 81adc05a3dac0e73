import { create } from "@bufbuild/protobuf";
import {
  type Refusal,
  refuse,
  type ReplicaReport,
  RetryableCodes,
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

/** A target chosen for one attempt. */
export interface AttemptTarget {
  /** Report of the replica or agent. */
  readonly report: ReplicaReport;
  /** Called when the answer has begun. */
  readonly started: () => void;
  /** Called at the end of the attempt. */
  readonly finished: () => void;
}

/** What is relayed and how its targets are chosen. */
export interface RelayRequest {
  /** The request without its attempt and target. */
  readonly runRequest: Partial<
    Omit<RunRequest, "$typeName" | "$unknown" | "attempt">
  >;
  /** Whether it may run more than once. */
  readonly idempotent: boolean;
  /** Chooses a target, or says why there is none. */
  readonly chooseTarget: (
    excluded: ReadonlySet<string>,
  ) => Promise<AttemptTarget | Refusal>;
  /** Where the answer goes. */
  readonly sink: ResponseSink;
  /** Called with each frame's new tokens. */
  readonly onTokens: (tokens: number) => void;
  /** Called when the first attempt's answer has begun. */
  readonly onStarted: () => void;
}

/** How a relayed request ended. */
export type RelayOutcome =
  | Extract<AttemptOutcome, { kind: "finished" }>
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** A relayed request's end and the path that it took. */
export interface RelayResult {
  /** How it ended. */
  readonly outcome: RelayOutcome;
  /** Replicas that were tried, in order. */
  readonly triedReplicas: readonly string[];
}

/**
 * Relays a request. It is tried again only where it certainly has not run, or
 * where it is idempotent and the caller has seen nothing of the answer.
 */
export async function relay(
  ctx: EntryContext,
  scope: RequestScope,
  request: RelayRequest,
): Promise<RelayResult> {
  const excluded = new Set<string>();
  const replicas: string[] = [];
  ctx.retryBudget.recordRequest();
  let last: Refusal | undefined;
  let mayHaveRun = false;
  const end = (refusal: Refusal) =>
    endRefused(refusal, { mayHaveRun, replicas });
  for (let retry = 0; retry <= MAX_RETRIES; retry += 1) {
    const target = await request.chooseTarget(excluded);
    if (!("report" in target)) return end(last ?? target);
    replicas.push(target.report.replica);
    const outcome = await attemptOnce(ctx, scope, { request, target });
    if (outcome.kind === "finished") {
      return { outcome, triedReplicas: replicas };
    }
    if (outcome.kind === "aborted") return end(scope.abortReason!);
    last = toRefusal(outcome, target.report.replica);
    mayHaveRun ||= last.ran === "unknown";
    learnFrom(ctx, last, { request, target });
    if (!mayRetry(last, outcome, request)) return end(last);
    if (!ctx.retryBudget.take()) {
      ctx.metrics.refusals.inc({ code: "retry_budget_spent" });
      return end(last);
    }
    ctx.metrics.retries.inc({ reason: last.code });
    excluded.add(target.report.replica);
    request.sink.reset();
    await pause(ctx, scope, retry);
  }
  return end(last!);
}

async function attemptOnce(
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

/** Keeps later requests away from a replica that can't take them. */
function learnFrom(
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
      // The agent itself is lost, and not just a service behind it.
      if (model) ctx.router.avoid(replica);
  }
}

function toRefusal(
  end: Exclude<AttemptOutcome, { kind: "finished" | "aborted" }>,
  replica: string,
): Refusal {
  if (end.kind === "refused") return end.refusal;
  return refuse(
    "outcome_unknown",
    `Replica "${replica}" was lost during the request: ${end.detail}`,
    { ran: "unknown" },
  );
}

function mayRetry(
  refusal: Refusal,
  end: AttemptOutcome,
  { idempotent, sink }: RelayRequest,
): boolean {
  if (sink.deliveredBytes > 0) return false;
  if (refusal.ran === "no") return RetryableCodes.has(refusal.code);
  if (!idempotent) return false;
  return end.kind === "lost" || refusal.code === "engine_failed";
}

/** An earlier attempt that may have run outweighs the last one's "no". */
function endRefused(
  refusal: Refusal,
  { mayHaveRun, replicas }: {
    mayHaveRun: boolean;
    replicas: readonly string[];
  },
): RelayResult {
  const isTemporary = RetryableCodes.has(refusal.code);
  const retryAfterMs = refusal.retryAfterMs ??
    (isTemporary ? RETRY_AFTER_MS : undefined);
  const ran = mayHaveRun ? "unknown" : refusal.ran;
  const final = refuse(refusal.code, refusal.message, { ran, retryAfterMs });
  return {
    outcome: { kind: "refused", refusal: final },
    triedReplicas: replicas,
  };
}

async function pause(
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
