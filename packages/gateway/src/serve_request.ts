import type { SelectionRequest } from "@banyanspool/routing";
import type { Route } from "@banyanspool/types";
import { consumeRateLimit } from "./admit_request.ts";
import type { GatewayContext } from "./context.ts";
import { endWithoutRetry, refuseRequest } from "./final_responses.ts";
import { refuseQuarantined } from "./refuse_quarantined.ts";
import type { RequestExecution } from "./request_execution.ts";
import { RequestProgress } from "./request_progress.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import { runAttempts } from "./run_attempts.ts";
import { findStreamVersion } from "./stream_version.ts";

/** Replica time to prefill one prompt token and to decode one output token. */
const PROMPT_TOKEN_BUSY_MS = 0.015;
const OUTPUT_TOKEN_BUSY_MS = 0.05;

/**
 * Applies the organisation's rate limit and sends the request to replicas until
 * the caller has its final response. The rate-limit cost is refunded if the
 * request was sent to no replica.
 */
export async function serveRequest(
  ctx: GatewayContext,
  scope: RequestScope,
): Promise<RequestOutcome> {
  const progress = RequestProgress.create();
  const refusal = refuseQuarantined(ctx, scope) ??
    await consumeRateLimit(ctx, scope);
  if (refusal) return refuseRequest(scope, refusal, progress);
  const outcome = await resumeOrRun(createExecution(ctx, scope, progress));
  if (progress.replicas.length === 0 && scope.organisation) {
    ctx.limits.refund(scope.organisation, scope.cost);
  }
  return outcome;
}

/** Runs a request; one that resumes a stream only at the stream's version. */
async function resumeOrRun(
  execution: RequestExecution,
): Promise<RequestOutcome> {
  const { ctx, scope, progress, request } = execution;
  const version = await findStreamVersion(ctx, scope, request.service);
  if (!version.ok) return endWithoutRetry(scope, version.error, progress);
  progress.streamVersion = version.value;
  return await runAttempts(execution);
}

function createExecution(
  ctx: GatewayContext,
  scope: RequestScope,
  progress: RequestProgress,
): RequestExecution {
  const { route, caller } = scope;
  const service = pickService(route, ctx.random);
  const budget = ctx.retryBudget(service);
  budget.recordRequest();
  if (route.retrySafety === "resumable") {
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
    allowedRegions: [route.allowedRegions, scope.organisation?.allowedRegions]
      .filter((regions) => regions !== undefined),
    get softwareVersion() {
      return progress.streamVersion;
    },
  };
  if (request.model !== undefined) {
    const busyMs = request.promptTokens * PROMPT_TOKEN_BUSY_MS +
      request.outputTokens * OUTPUT_TOKEN_BUSY_MS;
    ctx.demand.record(request.model, busyMs);
  }
  return { ctx, scope, progress, request, budget };
}

/** Picks a service at random by the route's weights. */
function pickService(route: Route, random: () => number): string {
  const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of route.shares) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return route.shares.at(-1)?.service ?? "";
}
