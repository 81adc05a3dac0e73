/**
 * Back-off, retry budgets, idle timeouts and attempt records.
 *
 * @module
 */
export { computeBackoffMs, RetryBudget } from "./budget.ts";
export type { BackoffOptions, RetryBudgetOptions } from "./budget.ts";
export { startIdleTimeout } from "./idle_timeout.ts";
export type { IdleTimeout, IdleTimeoutOptions } from "./idle_timeout.ts";
export { AttemptRegistry } from "./attempt_registry.ts";
export type {
  AttemptRegistryOptions,
  AttemptState,
  ClaimResult,
} from "./attempt_registry.ts";
