import { refuse } from "@banyanspool/types";
import { acquireReplacement, acquireReplica } from "./acquire_replica.ts";
import {
  finishAttempt,
  hasUsableResponse,
  mayRepeat,
  recordFailure,
  recordObservation,
} from "./finish_attempt.ts";
import {
  endAborted,
  endWithoutRetry,
  REJECTED_RETRY_AFTER_MS,
} from "./final_responses.ts";
import { PendingAttempt, waitForOutcome } from "./pending_attempt.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { averageTimeMs, type ReplicaSelection } from "@banyanspool/routing";
import type { RequestExecution } from "./request_execution.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { RequestOutcome } from "./request_scope.ts";

/** Multiple of the usual time after which a response is overdue. */
const OVERDUE_FACTOR = 3;
/** Share of the route's target time before which no response is overdue. */
const OVERDUE_TARGET_SHARE = 0.5;

/** Longest time for which an attempt waits for such a check, in ms. */
const MAX_CRASH_CHECK_MS = 50;

/** Makes attempts until the request has its final response. */
export async function runAttempts(
  execution: RequestExecution,
): Promise<RequestOutcome> {
  const { ctx, scope, progress, request, budget } = execution;
  while (true) {
    await awaitCrashCheck(execution);
    const waitStartedAt = ctx.clock.now();
    const waitingSince = progress.lastEventAt ?? scope.arrivedAt;
    const acquired = await acquireReplica(ctx, scope, {
      request,
      waitingSince,
    });
    progress.waitedMs += ctx.clock.now() - waitStartedAt;
    if (!acquired.ok) return endWithoutRetry(scope, acquired.error, progress);
    // Another request may have been sent there since.
    if (!ctx.replicaTracker.admits(acquired.value.server)) continue;
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
    const outcome = await runAttempt(execution, acquired.value);
    if (outcome) return outcome;
  }
}

/**
 * Waits until it is known whether the last attempt's replica has crashed, so that
 * a request that crashes replicas isn't sent to one after the other.
 */
async function awaitCrashCheck(
  { ctx, progress }: RequestExecution,
): Promise<void> {
  const { crashCheck } = progress;
  if (!crashCheck) return;
  progress.crashCheck = undefined;
  const timer = new AbortController();
  const expired = ctx.sleep(MAX_CRASH_CHECK_MS, timer.signal)
    .catch(() => {});
  await Promise.race([crashCheck, expired]);
  timer.abort();
}

/**
 * Makes one attempt, and others beside it while its response is overdue. Returns
 * undefined if another one should follow.
 */
async function runAttempt(
  execution: RequestExecution,
  selection: ReplicaSelection,
): Promise<RequestOutcome | undefined> {
  const started = [PendingAttempt.start(execution, selection)];
  let pending: readonly PendingAttempt[] = started;
  try {
    while (true) {
      const settled = await waitForOutcome(pending, {
        withinMs: overdueAfterMs(execution, pending),
        sleep: execution.ctx.sleep,
      });
      if (!settled) {
        const backup = await startBackup(execution, pending);
        if (!backup) continue;
        started.push(backup);
        pending = execution.scope.route.retrySafety === "idempotent"
          ? [...pending, backup]
          : [backup];
        continue;
      }
      logAttempt(execution, settled);
      const others = pending.filter((attempt) => attempt !== settled);
      if (others.length === 0 || hasUsableResponse(settled)) {
        for (const other of others) supersede(execution, other);
        return await finishAttempt(execution, settled);
      }
      if (settled.outcome?.kind === "given up") {
        return endAborted(execution.scope, execution.progress, true);
      }
      recordFailure(execution, settled);
      pending = others;
    }
  } finally {
    for (const attempt of started) attempt.finish();
  }
}

/** Time until the latest attempt is overdue, in ms, if another may follow. */
function overdueAfterMs(
  execution: RequestExecution,
  pending: readonly PendingAttempt[],
): number | undefined {
  if (!mayRepeat(execution, pending.length)) return undefined;
  return Math.max(
    averageTimeMs(pending.at(-1)!.selection) * OVERDUE_FACTOR,
    execution.scope.route.targetLatencyMs * OVERDUE_TARGET_SHARE,
  );
}

/**
 * Sends a request whose response is overdue to another replica as well. A late
 * response is better than none: the overdue attempt goes on if no other replica
 * can take the request now, or beside the other one if the request may run twice
 * at the same time. A request that may crash replicas runs at one at a time.
 */
async function startBackup(
  execution: RequestExecution,
  pending: readonly PendingAttempt[],
): Promise<PendingAttempt | undefined> {
  const { ctx, scope, progress, request, budget } = execution;
  if (budget.isSpent || ctx.quarantine.isSuspected(fingerprintOf(scope))) {
    return undefined;
  }
  const inUse = pending.map(({ selection }) => selection.server.id);
  const excluded = new Set([...progress.excluded, ...inUse]);
  const selection = await acquireReplacement(ctx, scope, {
    request: { ...request, excluded },
    waitingSince: progress.lastEventAt ?? scope.arrivedAt,
  });
  if (!selection || pending.some(({ outcome }) => outcome !== undefined)) {
    return undefined;
  }
  if (!ctx.replicaTracker.admits(selection.server)) return undefined;
  if (!budget.take()) return undefined;
  const overdue = pending.at(-1)!;
  recordObservation(execution, overdue.selection, "failure");
  ctx.metrics.retries.inc({ reason: "overdue" });
  if (scope.route.retrySafety !== "idempotent") supersede(execution, overdue);
  return PendingAttempt.start(execution, selection);
}

/** Ends an attempt in favour of another one. */
function supersede(execution: RequestExecution, attempt: PendingAttempt): void {
  const { progress } = execution;
  attempt.supersede();
  progress.possibleRuns += 1;
  progress.excluded.add(attempt.selection.server.id);
  logAttempt(execution, attempt);
}

function logAttempt(
  { ctx, scope }: RequestExecution,
  { selection, outcome = { kind: "superseded" } }: PendingAttempt,
): void {
  const lost = outcome.kind === "unknown" ? fingerprintOf(scope) : undefined;
  ctx.log.write("attempt", {
    id: scope.caller.id,
    replica: selection.server.id,
    model: scope.caller.model,
    predicted_ms: Math.round(selection.predictedMs),
    slowdown: Number(selection.slowdown.toFixed(2)),
    in_flight: selection.inFlight,
    version: ctx.fleet.version,
    outcome: outcome.kind,
    reason: "reason" in outcome ? outcome.reason : undefined,
    request: lost?.digest,
    prompt_parts: lost?.parts,
  });
}
