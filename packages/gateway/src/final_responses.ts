import type { Refusal } from "@banyanspool/types";
import { refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import type { RequestProgress } from "./request_progress.ts";
import { jitterRetryAfter, sendRefusal } from "./refusals.ts";
import { truncateResponse } from "./truncate_response.ts";
import type { RequestOutcome, RequestScope } from "./request_scope.ts";
import type { AttemptOutcome } from "./send_attempt.ts";

/** Retry-after of a request that replicas rejected, before jitter, in ms. */
export const REJECTED_RETRY_AFTER_MS = 300;

/** Returns the refusal for a request whose last attempt had no response. */
export function refusalForFailedAttempt(
  ctx: GatewayContext,
  outcome: AttemptOutcome,
): Refusal {
  if (outcome.kind === "notRun") {
    return refuse("overloaded", "The replicas rejected the request", {
      retryAfterMs: jitterRetryAfter(REJECTED_RETRY_AFTER_MS, ctx.random),
    });
  }
  return refuse("outcome_unknown", "The replica's response was lost", {
    ran: "unknown",
  });
}

/**
 * Ends a request for which no further attempt is made. The refusal's code is
 * replaced by `outcome_unknown` if a replica may have run the request.
 */
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

/** Ends a request whose caller disconnected or whose deadline has passed. */
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
    refuse("deadline_passed", "The request's deadline has passed", {
      ran: mayHaveRun ? "unknown" : "no",
      retryAfterMs: mayHaveRun ? undefined : REJECTED_RETRY_AFTER_MS,
    }),
    progress,
  );
}

/**
 * Ends a request whose replica's status promises that it hasn't run, which the
 * replica doesn't state.
 */
export function endUnproven(
  scope: RequestScope,
  progress: RequestProgress,
): RequestOutcome {
  return refuseRequest(
    scope,
    refuse(
      "outcome_unknown",
      "The replica didn't say whether it has run the request",
      { ran: "unknown" },
    ),
    progress,
  );
}

/** Ends a request whose response was cut off and can't be resumed elsewhere. */
export function endTruncated(
  scope: RequestScope,
  progress: RequestProgress,
): RequestOutcome {
  if (!scope.res.headersSent) {
    return refuseRequest(
      scope,
      refuse("outcome_unknown", "The replica's response was cut off", {
        ran: "unknown",
      }),
      progress,
    );
  }
  truncateResponse(scope.res);
  return { result: "broken", ...summariseProgress(progress) };
}

/** Sends a refusal, or closes the connection if a response was begun. */
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

/** Returns the fields of a request's outcome that its progress holds. */
export function summariseProgress(
  progress: RequestProgress,
): Pick<
  RequestOutcome,
  "replicas" | "waitedMs" | "firstByteMs" | "longestPauseMs"
> {
  const { replicas, waitedMs, firstByteMs, longestPauseMs } = progress;
  return { replicas, waitedMs, firstByteMs, longestPauseMs };
}
