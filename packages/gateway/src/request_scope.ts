import type { IncomingMessage, ServerResponse } from "node:http";
import type {
  CallerRequest,
  OrganisationLimit,
  Refusal,
  Route,
} from "@banyanspool/types";
import type { ActiveConfiguration } from "./fleet_state.ts";

/** One request after its checks, until its answer has ended. */
export interface RequestScope {
  /** Request of the caller's connection. */
  readonly req: IncomingMessage;
  /** Answer to the caller. */
  readonly res: ServerResponse;
  /** What was read of the head. */
  readonly caller: CallerRequest;
  /** The whole body, if there is one. */
  readonly body?: Buffer;
  /** Configuration by which the request is handled. */
  readonly activeConfiguration: ActiveConfiguration;
  /** Its route. */
  readonly route: Route;
  /** Organisation that the key belongs to; none on open routes. */
  readonly organisation?: OrganisationLimit;
  /** Tokens, or one, that it counts against the organisation's limit. */
  readonly cost: number;
  /** When its head was read. */
  readonly arrivedAt: number;
  /** When it gets its final answer at the latest. */
  readonly deadlineAt: number;
  /** Aborted when the caller leaves or the final answer is due. */
  readonly signal: AbortSignal;
}

/** How a request ended, for the log and the counters. */
export interface RequestOutcome {
  /** Short word for counters. */
  readonly result: "answered" | "broken" | "left" | Refusal["code"];
  /** Why it was refused, in one sentence. */
  readonly detail?: string;
  /** Replicas that it was sent to, in order. */
  readonly replicas: readonly string[];
  /** Status that the caller got. */
  readonly status?: number;
  /** Time that it waited for a replica, in ms. */
  readonly waitedMs: number;
  /** Time to the first byte of the answer, in ms. */
  readonly firstByteMs?: number;
}
