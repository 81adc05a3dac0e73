import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";
import type { Admission, RateRefusal } from "@banyanspool/limits";
import type { EntryContext } from "./context.ts";
import type { RequestScope } from "./request_scope.ts";

const MAX_ADMISSION_WAIT_MS = 500;
const NO_LIMIT_RETRY_AFTER_MS = 60_000;

/** Reserves `tokens`, the most that a request may cost, within the limits. */
export async function admit(
  ctx: EntryContext,
  scope: RequestScope,
  { organisation, tokens }: { organisation: string; tokens: number },
): Promise<Result<Admission, Refusal>> {
  const admission = await ctx.limits.admit(organisation, {
    tokens,
    lifetimeMs: Math.max(1, Math.floor(scope.remainingMs())),
    maxWaitMs: MAX_ADMISSION_WAIT_MS,
  });
  if (admission.ok) return ok(admission.value);
  return err(toRefusal(admission.error, { organisation, tokens }));
}

function toRefusal(
  error: RateRefusal,
  { organisation, tokens }: { organisation: string; tokens: number },
): Refusal {
  switch (error.kind) {
    case "noLimit":
      return refuse(
        "rate_exceeded",
        `Organisation "${organisation}" has no rate limit configured yet`,
        { retryAfterMs: NO_LIMIT_RETRY_AFTER_MS },
      );
    case "exceedsBurst":
      return refuse(
        "bad_request",
        `The request may cost ${tokens} tokens, but the burst limit of "${organisation}" is ${error.burst}`,
      );
    case "rateExceeded":
      return refuse(
        "rate_exceeded",
        `Organisation "${organisation}" has used up its rate limit`,
        { retryAfterMs: error.retryAfterMs },
      );
    case "leaseLapsed":
      return refuse(
        "store_unavailable",
        "This entry holds no valid lease on its share of the rate limit",
        { retryAfterMs: error.retryAfterMs },
      );
  }
}
