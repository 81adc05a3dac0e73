import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  CallerRequest,
  OrganisationLimit,
  Refusal,
  Route,
} from "@banyanspool/types";
import type { ActiveConfiguration } from "./fleet_state.ts";
import type { OpenRequest } from "./open_requests.ts";

/** A request that passed its checks, until its response has ended. */
export interface RequestScope {
  /** HTTP request of the caller. */
  readonly req: IncomingMessage;
  /** HTTP response to the caller. */
  readonly res: ServerResponse;
  /** Fields decoded from the request's target and headers. */
  readonly caller: CallerRequest;
  /** Complete body; undefined if the request has none. */
  readonly body?: Buffer;
  /** Configuration that was active when the request was checked. */
  readonly activeConfiguration: ActiveConfiguration;
  /** Route that the request matches. */
  readonly route: Route;
  /** Organisation of the request's key; undefined on open routes. */
  readonly organisation?: OrganisationLimit;
  /** Cost against the organisation's rate limit, in tokens or requests. */
  readonly cost: number;
  /** Time at which the request's head was read, in ms. */
  readonly arrivedAt: number;
  /** Time by which the caller must have the final response, in ms. */
  readonly deadlineAt: number;
  /** Holds bytes of the response that the caller doesn't read. */
  readonly holdUnread: OpenRequest["holdUnread"];
  /** Aborted when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** Priority of a request, its organisation's before its route's; 0 is the most urgent. */
export function priorityOf(
  { organisation, route }: Pick<RequestScope, "organisation" | "route">,
): number {
  return Math.max(0, organisation?.priority ?? route.priority);
}

/** Outcome of a request for log and metrics. */
export interface RequestOutcome {
  /** Label of the request counter; `left` if the caller disconnected. */
  readonly result: "answered" | "broken" | "left" | Refusal["code"];
  /** Reason of a refusal, in one sentence. */
  readonly detail?: string;
  /** Ids of the replicas that the request was sent to, in order. */
  readonly replicas: readonly string[];
  /** HTTP status sent to the caller. */
  readonly status?: number;
  /** Time that the request waited for a replica, in ms. */
  readonly waitedMs: number;
  /** Time to the first byte of the response, in ms. */
  readonly firstByteMs?: number;
  /** Longest pause between two events of a stream, in ms. */
  readonly longestPauseMs?: number;
}
