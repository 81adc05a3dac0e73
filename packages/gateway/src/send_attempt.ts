import {
  type AnswerFacts,
  decodeAnswer,
  encodeForwardedHeaders,
} from "@banyanspool/platform-adapter";
import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName } from "@banyanspool/routing";
import type { GatewayContext } from "./context.ts";
import {
  ReplicaCall,
  ReplicaCallError,
  type ResponseHead,
} from "./replica_call.ts";
import type { RequestScope } from "./request_scope.ts";

/** An answer of a replica whose head has come. */
export interface StartedResponse {
  /** The call, whose body can be read. */
  readonly call: ReplicaCall;
  /** Status and headers. */
  readonly head: ResponseHead;
}

/** What became of sending a request to a replica. */
export type AttemptOutcome =
  | ({ readonly kind: "started" } & StartedResponse)
  /** The replica can't have run it. */
  | { readonly kind: "notRun"; readonly reason: string; readonly sent: boolean }
  /** The replica may have run it, and there is no answer. */
  | { readonly kind: "unknown"; readonly reason: string }
  /** No answer in the time given; it may still run. */
  | { readonly kind: "overdue" }
  /** The caller left or the final answer is due. */
  | { readonly kind: "given up" };

/** What one attempt needs beside the request. */
export interface AttemptOptions {
  /** Chosen replica. */
  readonly selection: ReplicaSelection;
  /** What was asked of the board. */
  readonly request: SelectionRequest;
  /** Id of the last event that the caller has. */
  readonly lastEventId?: string;
  /** Time for the head of the answer, in ms, if it may be sent elsewhere. */
  readonly headTimeoutMs?: number;
  /** Asked when that time is over: whether it can be sent elsewhere now. */
  readonly tryReserveRetry: () => boolean;
}

/** Engine priorities go from 0, the first, to 9. */
const LEAST_ENGINE_PRIORITY = 9;

/** Sends a request to a replica and waits for the head of the answer. */
export async function sendAttempt(
  ctx: GatewayContext,
  scope: RequestScope,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { selection: choice, request } = options;
  const call = ReplicaCall.create({
    connections: ctx.pools.forReplica(choice.server),
    origin: `http://${choice.server.address}`,
    method: scope.req.method ?? "GET",
    target: scope.caller.target,
    headers: encodeForwardedHeaders(scope.req.rawHeaders, {
      server: choice.server,
      deadlineMs: scope.deadlineAt - ctx.clock.now(),
      organisation: scope.organisation?.name,
      enginePriority: request.model === undefined
        ? undefined
        : enginePriority(scope),
      lastEventId: options.lastEventId,
      bodyBytes: scope.body?.length,
    }),
    body: scope.body,
  });
  try {
    return await awaitHead(ctx, scope, { ...options, call });
  } catch (error) {
    const failure = error as ReplicaCallError;
    if (failure.failure === "notSent" && !scope.signal.aborted) {
      ctx.replicaTracker.markUnreachable(choice.server.id);
    }
    return describeFailure(scope, failure);
  }
}

async function awaitHead(
  ctx: GatewayContext,
  scope: RequestScope,
  {
    call,
    selection: choice,
    request,
    headTimeoutMs,
    tryReserveRetry: canTryElsewhere,
  }:
    & AttemptOptions
    & {
      call: ReplicaCall;
    },
): Promise<AttemptOutcome> {
  const giveUp = () => call.abort();
  let isOverdue = false;
  // A late answer is better than none: it is given up only for another try.
  const timer = headTimeoutMs === undefined ? undefined : setInterval(() => {
    if (isOverdue || !canTryElsewhere()) return;
    isOverdue = true;
    call.abort();
  }, headTimeoutMs);
  scope.signal.addEventListener("abort", giveUp);
  if (scope.signal.aborted) call.abort();
  let head: ResponseHead;
  try {
    head = await call.head;
  } catch (error) {
    if (isOverdue) return { kind: "overdue" };
    throw error;
  } finally {
    clearInterval(timer);
    scope.signal.removeEventListener("abort", giveUp);
  }
  const facts = decodeAnswer(head.status, head.headers);
  if (!belongsTo(scope, facts)) {
    call.abort();
    return { kind: "unknown", reason: "answer to another request" };
  }
  if (!facts.notRun) return { kind: "started", call, head };
  await drain(call);
  const name = formatModelName(request);
  if (name !== undefined) {
    const reason = facts.misdirected ? "missing" : "busy";
    ctx.replicaTracker.markRejected(choice.server.id, { name, reason });
  }
  return { kind: "notRun", reason: `status ${head.status}`, sent: true };
}

/** An answer without an id can't be told apart and is taken as it comes. */
function belongsTo({ caller }: RequestScope, facts: AnswerFacts): boolean {
  return facts.requestId === undefined || facts.requestId === caller.id;
}

/** Reads the rest, so that the connection can be used again. */
async function drain(call: ReplicaCall): Promise<void> {
  try {
    for await (const _ of call.body());
  } catch {
    // The connection is closed then; the rejection itself stands.
  }
}

function describeFailure(
  scope: RequestScope,
  error: ReplicaCallError,
): AttemptOutcome {
  const reason = error.message;
  if (scope.signal.aborted) return { kind: "given up" };
  if (error.failure === "notSent") {
    return { kind: "notRun", reason, sent: false };
  }
  return { kind: "unknown", reason };
}

function enginePriority({ organisation, route }: RequestScope): number {
  const rank = organisation?.priority ?? route.priority;
  return Math.min(LEAST_ENGINE_PRIORITY, Math.max(0, rank));
}
