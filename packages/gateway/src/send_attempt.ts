import { encodeForwardedHeaders } from "@banyanspool/platform-adapter";
import type { ReplicaSelection, SelectionRequest } from "@banyanspool/routing";
import { formatModelName } from "@banyanspool/routing";
import { incarnationOf } from "@banyanspool/types";
import { isCallerPresent } from "./caller_presence.ts";
import type { GatewayContext } from "./context.ts";
import {
  ReplicaCall,
  ReplicaCallError,
  type ResponseHead,
} from "./replica_call.ts";
import { recordReplicaNotices } from "./replica_notices.ts";
import { priorityOf, type RequestScope } from "./request_scope.ts";

/** A response of a replica whose head has arrived. */
export interface StartedResponse {
  /** The call; its body can be read. */
  readonly call: ReplicaCall;
  /** Status and headers. */
  readonly head: ResponseHead;
  /** Whether the replica asks for a pause, which is no failure of it. */
  readonly asksForPause: boolean;
}

/** Result of sending a request to a replica, up to the head of its response. */
export type AttemptOutcome =
  | ({ readonly kind: "started" } & StartedResponse)
  /** The replica has not run the request. */
  | { readonly kind: "notRun"; readonly reason: string; readonly sent: boolean }
  /** The replica may have run the request, and there is no response. */
  | { readonly kind: "unknown"; readonly reason: string }
  /** Another attempt took its place; the request may still be running. */
  | { readonly kind: "superseded" }
  /** The caller disconnected or the request's deadline has passed. */
  | { readonly kind: "given up"; readonly sent: boolean };

/** Options of {@link sendAttempt}. */
export interface AttemptOptions {
  /** Chosen replica. */
  readonly selection: ReplicaSelection;
  /** Request for which the replica was chosen. */
  readonly request: SelectionRequest;
  /** Id of the last event sent to the caller, for a resumed stream. */
  readonly lastEventId?: string;
  /** Aborted when another attempt takes the place of this one. */
  readonly signal: AbortSignal;
}

/**
 * Time without a byte from a replica, in ms, after which its open connections are
 * no longer used.
 */
const MIN_SILENCE_MS = 500;
/** Engine priorities range from 0, the highest, to 9. */
const LOWEST_ENGINE_PRIORITY = 9;

/** Sends a request to a replica and waits for the head of the response. */
export async function sendAttempt(
  ctx: GatewayContext,
  scope: RequestScope,
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { selection, request, signal } = options;
  if (!await isCallerPresent(scope)) return { kind: "given up", sent: false };
  if (signal.aborted) return { kind: "superseded" };
  const sentAt = ctx.clock.now();
  const replica = incarnationOf(selection.server);
  const connections = ctx.pools.forReplica(selection.server);
  const readsBefore = connections.readGuard.reads;
  const call = ReplicaCall.create({
    connections,
    origin: `http://${selection.server.address}`,
    method: scope.req.method ?? "GET",
    target: scope.caller.target,
    headers: encodeForwardedHeaders(scope.req.rawHeaders, {
      server: selection.server,
      deadlineMs: scope.deadlineAt - ctx.clock.now(),
      organisation: scope.organisation?.name,
      enginePriority: request.model === undefined
        ? undefined
        : enginePriority(scope),
      lastEventId: options.lastEventId,
      bodyBytes: scope.body?.length,
    }),
    body: scope.body,
    requestId: scope.caller.id,
    maySend: () =>
      ctx.replicaPauses.remainingMs(replica) === 0 &&
      ctx.replicaTracker.allows(selection.server, request),
  });
  try {
    return await awaitHead(ctx, scope, { ...options, call, sentAt });
  } catch (error) {
    const callError = error as ReplicaCallError;
    const isBarred = ctx.replicaPauses.remainingMs(replica) > 0 ||
      !ctx.replicaTracker.allows(selection.server, request);
    if (
      callError.failure === "notSent" && !isBarred && !scope.signal.aborted
    ) {
      ctx.replicaTracker.markUnreachable(selection.server.id);
    }
    return outcomeOfFailure(scope, callError);
  } finally {
    const isSilent = connections.readGuard.reads === readsBefore &&
      ctx.clock.now() - sentAt >= MIN_SILENCE_MS;
    if (isSilent) ctx.pools.retire(selection.server, connections);
  }
}

async function awaitHead(
  ctx: GatewayContext,
  scope: RequestScope,
  { call, sentAt, selection, request, signal }:
    & AttemptOptions
    & { call: ReplicaCall; sentAt: number },
): Promise<AttemptOutcome> {
  const abort = () => call.abort();
  const signals = [scope.signal, signal];
  for (const each of signals) each.addEventListener("abort", abort);
  if (scope.signal.aborted) call.abort();
  let head: ResponseHead;
  try {
    head = await call.head;
  } catch (error) {
    if (signal.aborted) return { kind: "superseded" };
    throw error;
  } finally {
    for (const each of signals) each.removeEventListener("abort", abort);
  }
  const { match, facts, status } = head;
  if (match.kind === "mismatch") {
    const { reason } = match;
    ctx.metrics.mismatchedResponses.inc({ reason });
    ctx.log.write("response mismatch", {
      id: scope.caller.id,
      replica: selection.server.id,
      reason,
      status,
      named_id: facts.requestId,
    });
    return { kind: "unknown", reason: `response with ${reason}` };
  }
  recordReplicaNotices(ctx, selection.server, {
    facts,
    sentAt,
    isRequest: true,
  });
  const asksForPause = facts.pause.kind === "pause";
  if (match.kind === "answer") {
    return { kind: "started", call, head, asksForPause };
  }
  call.discard();
  const name = formatModelName(request);
  if (name !== undefined) {
    const reason = facts.misdirected ? "missing" : "busy";
    ctx.replicaTracker.markRejected(selection.server.id, { name, reason });
  }
  return { kind: "notRun", reason: `status ${status}`, sent: true };
}

function outcomeOfFailure(
  scope: RequestScope,
  error: ReplicaCallError,
): AttemptOutcome {
  const reason = error.message;
  const sent = error.failure !== "notSent";
  if (scope.signal.aborted) return { kind: "given up", sent };
  if (!sent) return { kind: "notRun", reason, sent };
  return { kind: "unknown", reason };
}

function enginePriority(scope: RequestScope): number {
  return Math.min(LOWEST_ENGINE_PRIORITY, priorityOf(scope));
}
