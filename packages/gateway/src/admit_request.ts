import { hashKey } from "@banyanspool/keys";
import type {
  CallerRequest,
  OrganisationLimit,
  Refusal,
  Result,
  Route,
} from "@banyanspool/types";
import { err, ok, refuse } from "@banyanspool/types";
import type { GatewayContext } from "./context.ts";
import type { ActiveConfiguration } from "./fleet_state.ts";
import { jitterRetryAfter } from "./refusals.ts";
import type { RequestScope } from "./request_scope.ts";

/** Route and organisation of a request. */
export interface AuthenticatedRequest {
  /** Route that the request matches. */
  readonly route: Route;
  /** Organisation of the request's key; undefined on open routes. */
  readonly organisation?: OrganisationLimit;
}

const NOT_READY_RETRY_AFTER_MS = 500;
/** Share of the route's target time for which a request waits for a refill. */
const REFILL_WAIT_SHARE = 1 / 8;
const MAX_RETRY_AFTER_MS = 10_000;
/** Poll interval while a restarted gateway collects the usage of the limits. */
const LEARNING_POLL_MS = 20;

/**
 * Finds the request's route and checks its key. Refuses a request without a
 * configuration, a matching route or, where one is needed, a valid key.
 */
export function authenticateRequest(
  activeConfiguration: ActiveConfiguration | undefined,
  caller: CallerRequest,
): Result<AuthenticatedRequest, Refusal> {
  if (!activeConfiguration) {
    return err(refuse("not_ready", "This gateway has no configuration yet", {
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    }));
  }
  const { configuration, routes } = activeConfiguration;
  const route = routes.find(caller.host, caller.target);
  if (!route) {
    const location = `${caller.host}${caller.target.split("?", 1)[0]}`;
    return err(refuse("route_not_found", `No route matches "${location}"`));
  }
  if (!configuration.requiresKeys || route.isPublic) return ok({ route });
  if (caller.key === undefined) {
    return err(refuse("key_missing", "The request has no key"));
  }
  const hash = hashKey(caller.key);
  const organisation = configuration.organisationsByKeyHash.get(hash);
  if (!organisation) {
    return err(refuse("key_invalid", "The key is unknown"));
  }
  return ok({ route, organisation });
}

/**
 * Cost of a request against its organisation's rate limit: tokens, or 1 where
 * the limit counts requests. Requests without an organisation cost 0.
 */
export function rateLimitCost(
  caller: CallerRequest,
  organisation: OrganisationLimit | undefined,
): number {
  if (!organisation) return 0;
  if (organisation.unit === "requests") return 1;
  const { tokens } = caller;
  if (!tokens) return organisation.defaultRequestTokens;
  return tokens.prompt + tokens.output;
}

/**
 * Takes a request's cost from its organisation's rate limit. Waits for a short
 * refill; returns a refusal if that would take too long.
 */
export async function consumeRateLimit(
  ctx: GatewayContext,
  scope: RequestScope,
): Promise<Refusal | undefined> {
  const { organisation, cost, route } = scope;
  if (!organisation) return undefined;
  const waitUntil = ctx.clock.now() + route.targetLatencyMs * REFILL_WAIT_SHARE;
  while (true) {
    const result = ctx.limits.take(organisation, cost);
    if (result.kind === "taken") return undefined;
    if (result.kind === "learning" && !scope.signal.aborted) {
      await ctx.sleep(Math.min(LEARNING_POLL_MS, result.waitMs));
      continue;
    }
    if (ctx.clock.now() + result.waitMs > waitUntil || scope.signal.aborted) {
      const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, result.waitMs);
      return refuse(
        "rate_exceeded",
        `Organisation "${organisation.name}" is over its rate limit: ${cost} ` +
          `tokens are available in ${Math.round(result.waitMs)} ms`,
        { retryAfterMs: jitterRetryAfter(retryAfterMs, ctx.random) },
      );
    }
    await ctx.sleep(Math.max(1, result.waitMs));
  }
}
