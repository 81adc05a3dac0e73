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

/** Route and owner of a request. */
export interface AuthenticatedRequest {
  /** Its route. */
  readonly route: Route;
  /** Owner of its key; none on open routes. */
  readonly organisation?: OrganisationLimit;
}

const NOT_READY_RETRY_MS = 500;
/** Part of the target that a request may wait for its organisation's refill. */
const REFILL_WAIT_SHARE = 1 / 8;
const LONGEST_RETRY_MS = 10_000;
/** How often a restarted gateway asks whether it knows the limits' use. */
const LEARNING_POLL_MS = 20;

/** Finds the route and checks the key. */
export function authenticateRequest(
  inForce: ActiveConfiguration | undefined,
  caller: CallerRequest,
): Result<AuthenticatedRequest, Refusal> {
  if (!inForce) {
    return err(refuse("not_ready", "This gateway has no configuration yet", {
      retryAfterMs: NOT_READY_RETRY_MS,
    }));
  }
  const { configuration, routes } = inForce;
  const route = routes.find(caller.host, caller.target);
  if (!route) {
    const where = `${caller.host}${caller.target.split("?", 1)[0]}`;
    return err(refuse("route_not_found", `No route matches "${where}"`));
  }
  if (!configuration.keyed || route.open) return ok({ route });
  if (caller.key === undefined) {
    return err(refuse("key_missing", "The request has no key"));
  }
  const hash = hashKey(caller.key);
  const organisation = configuration.organisationsByKeyHash.get(hash);
  if (!organisation) {
    return err(refuse("key_invalid", "The key is not known"));
  }
  return ok({ route, organisation });
}

/** What a request counts against its organisation's limit. */
export function rateLimitCost(
  caller: CallerRequest,
  organisation: OrganisationLimit | undefined,
): number {
  if (!organisation) return 0;
  if (organisation.unit === "requests") return 1;
  const { tokens } = caller;
  if (!tokens) return organisation.plainTokens;
  return tokens.prompt + tokens.output;
}

/** Takes a request's cost from its organisation's limit, or refuses it. */
export async function consumeRateLimit(
  ctx: GatewayContext,
  scope: RequestScope,
): Promise<Refusal | undefined> {
  const { organisation, cost, route } = scope;
  if (!organisation) return undefined;
  const giveUpAt = ctx.clock.now() + route.targetMs * REFILL_WAIT_SHARE;
  while (true) {
    const taken = ctx.limits.take(organisation, cost);
    if (taken.kind === "taken") return undefined;
    if (taken.kind === "learning" && !scope.signal.aborted) {
      await ctx.sleep(Math.min(LEARNING_POLL_MS, taken.waitMs));
      continue;
    }
    if (ctx.clock.now() + taken.waitMs > giveUpAt || scope.signal.aborted) {
      const retryAfterMs = Math.min(LONGEST_RETRY_MS, taken.waitMs);
      return refuse(
        "rate_exceeded",
        `Organisation "${organisation.name}" has used up its rate: ${cost} ` +
          `tokens would be there in ${Math.round(taken.waitMs)} ms`,
        { retryAfterMs: jitterRetryAfter(retryAfterMs, ctx.random) },
      );
    }
    await ctx.sleep(Math.max(1, taken.waitMs));
  }
}
