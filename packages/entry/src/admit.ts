import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";
import type { Admission, RateRefusal } from "@banyanspool/limits";
import type { EntryContext } from "./context.ts";
import type { RequestScope } from "./request_scope.ts";

const PATIENCE_MS = 500;
const NO_LIMIT_RETRY_MS = 60_000;

/** Reserves the most that a request may cost. */
export async function admit(
  ctx: EntryContext,
  scope: RequestScope,
  { organisation, tokens }: { organisation: string; tokens: number },
): Promise<Result<Admission, Refusal>> {
  const admission = await ctx.limits.admit(organisation, {
    tokens,
    lifetimeMs: Math.max(1, Math.floor(scope.remainingMs())),
    maxWaitMs: PATIENCE_MS,
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
        `Organisation "${organisation}" has no rate and burst yet`,
        { retryAfterMs: NO_LIMIT_RETRY_MS },
      );
    case "exceedsBurst":
      return refuse(
        "bad_request",
        `The request may cost ${tokens} tokens, but the burst of "${organisation}" is ${error.burst}`,
      );
    case "rateExceeded":
      return refuse(
        "rate_exceeded",
        `Organisation "${organisation}" has used its rate and burst`,
        { retryAfterMs: error.retryAfterMs },
      );
    case "leaseLapsed":
      return refuse(
        "store_unavailable",
        "This entry's share of the limits is not confirmed",
        { retryAfterMs: error.retryAfterMs },
      );
  }
}
