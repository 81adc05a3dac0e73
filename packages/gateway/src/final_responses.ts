import type { Refusal } from "@banyanspool/types";
import { refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import type { RequestProgress } from "./request_progress.ts";
import { jitterRetryAfter, sendRefusal } from "./refusals.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import type { AttemptOutcome } from "./send_attempt.ts";

/** When to come back after a rejection, in ms. */
export const REJECTED_RETRY_AFTER_MS = 300;

/** Says why a request gets no further attempt. */
export function refusalForFailedAttempt(
  ctx: GatewayContext,
  outcome: AttemptOutcome,
): Refusal {
  if (outcome.kind === "notRun") {
    return refuse("overloaded", "The replicas rejected the request", {
      retryAfterMs: jitterRetryAfter(REJECTED_RETRY_AFTER_MS, ctx.random),
    });
  }
  return refuse("outcome_unknown", "The replica's answer was lost", {
    ran: "unknown",
  });
}

/** Ends a request for which no further attempt is made. */
export function endWithoutRetry(
  scope: RequestScope,
  refusal: Refusal,
  progress: RequestProgress,
): RequestOutcome {
  if (scope.signal.aborted) {
    return endAborted(scope, progress, progress.mayHaveRun);
  }
  if (!progress.mayHaveRun) return refuseRequest(scope, refusal, progress);
  return refuseRequest(
    scope,
    refuse("outcome_unknown", refusal.message, { ran: "unknown" }),
    progress,
  );
}

/** Ends a request whose caller has left or whose final answer is due. */
export function endAborted(
  scope: RequestScope,
  progress: RequestProgress,
  mayHaveRun: boolean,
): RequestOutcome {
  if (scope.res.destroyed) {
    return { result: "left", ...summariseProgress(progress) };
  }
  return refuseRequest(
    scope,
    refuse("deadline_passed", "The request's time is over", {
      ran: mayHaveRun ? "unknown" : "no",
      retryAfterMs: mayHaveRun ? undefined : REJECTED_RETRY_AFTER_MS,
    }),
    progress,
  );
}

/** Ends a request whose answer broke off and can't go on elsewhere. */
export function endTruncated(
  scope: RequestScope,
  progress: RequestProgress,
): RequestOutcome {
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
  return { result: "broken", ...summariseProgress(progress) };
}

/** Answers with a refusal, or closes the connection of a torn answer. */
export function refuseRequest(
  scope: RequestScope,
  refusal: Refusal,
  progress: RequestProgress,
): RequestOutcome {
  const isBroken = scope.res.headersSent;
  sendRefusal(scope.res, refusal);
  return {
    result: isBroken ? "broken" : refusal.code,
    detail: refusal.message,
    status: isBroken ? undefined : scope.res.statusCode,
    ...summariseProgress(progress),
  };
}

/** What the log and the counters need of the progress. */
export function summariseProgress(
  progress: RequestProgress,
): Pick<RequestOutcome, "replicas" | "waitedMs" | "firstByteMs"> {
  const { replicas, waitedMs, firstByteMs } = progress;
  return { replicas, waitedMs, firstByteMs };
}
