import type { RetryBudget } from "@banyanspool/retry";
import type { SelectionRequest } from "@banyanspool/routing";
import type { GatewayContext } from "./context.ts";
import type { RequestProgress } from "./request_progress.ts";
import type { RequestScope } from "./request_scope.ts";

/** A request with the state that its attempts share. */
export interface RequestExecution {
  /** Dependencies of the gateway. */
  readonly ctx: GatewayContext;
  /** The request and the connection to its caller. */
  readonly scope: RequestScope;
  /** Attempts and times so far. */
  readonly progress: RequestProgress;
  /** Properties by which replicas are selected. */
  readonly request: SelectionRequest;
  /** Retry budget of the request's service. */
  readonly budget: RetryBudget;
}
