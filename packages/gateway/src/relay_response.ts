import { selectCallerHeaders } from "@banyanspool/platform-adapter";
import {
  ByteBuffer,
  EventStreamSplitter,
  framingOf,
  MAX_EVENT_BYTES,
} from "@banyanspool/responses";
import { type ReplicaCall, ReplicaCallError } from "./replica_call.ts";
import type { RequestScope } from "./request_scope.ts";
import type { StartedResponse } from "./send_attempt.ts";
import { truncateResponse } from "./truncate_response.ts";

/** Result of relaying a response to the caller. */
export type RelayOutcome =
  | { readonly kind: "whole" }
  /**
   * A plain response was cut off. If a part of it had been sent to the caller,
   * the caller's connection was closed.
   */
  | { readonly kind: "lost"; readonly reason: string }
  /** A stream was cut off; the caller has only complete events of it. */
  | {
    readonly kind: "broken";
    readonly reason: string;
    readonly lastEventId?: string;
    /** Bytes after the last complete event, which the caller doesn't get. */
    readonly incompleteBytes: number;
  }
  /** The caller disconnected or the request's deadline has passed. */
  | { readonly kind: "given up" };

/** Size up to which a plain response is buffered until it is complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Smaller ends of responses aren't counted as unread. */
const MIN_HELD_BYTES = 4 * 1024;

/** Relays a plain response when complete, or chunk by chunk if it is large. */
export async function relayPlainResponse(
  scope: RequestScope,
  { call, head }: StartedResponse,
): Promise<RelayOutcome> {
  const { res } = scope;
  const unsent = ByteBuffer.create();
  const abort = () => call.abort();
  scope.signal.addEventListener("abort", abort);
  try {
    for await (const chunk of call.body()) {
      if (res.headersSent) {
        await write(scope, call, chunk);
        continue;
      }
      unsent.append(chunk);
      if (unsent.length < MAX_BUFFERED_BYTES) continue;
      res.writeHead(head.status, selectCallerHeaders(head.headers));
      await write(scope, call, unsent.takeAll());
    }
  } catch (error) {
    if (!(error instanceof ReplicaCallError)) throw error;
    if (res.headersSent) truncateResponse(res);
    return scope.signal.aborted
      ? { kind: "given up" }
      : { kind: "lost", reason: error.message };
  } finally {
    scope.signal.removeEventListener("abort", abort);
  }
  if (!res.headersSent) {
    res.writeHead(head.status, {
      ...selectCallerHeaders(head.headers),
      "content-length": String(unsent.length),
    });
    res.write(unsent.takeAll());
  }
  end(scope);
  return { kind: "whole" };
}

/**
 * Whether a response on a streaming route is a stream of events. One without a
 * content type is, as the route promises events.
 */
export function isEventStream({ head }: StartedResponse): boolean {
  const type = head.headers["content-type"];
  return head.status === 200 &&
    (type === undefined || String(type).startsWith("text/event-stream"));
}

/** Options of {@link relayStream}. */
export interface StreamRelayOptions {
  /**
   * Called before the first events are written to the caller. Returns whether
   * they may be.
   */
  readonly mayBegin: () => boolean;
  /** Called before each write of events to the caller. */
  readonly onEvents: () => void;
}

/**
 * Relays an event stream in complete events, so that it can be resumed at
 * another replica if it is cut off. A stream that ends inside an event was cut
 * off, as the end of a connection may be all that frames it.
 */
export async function relayStream(
  scope: RequestScope,
  { call, head }: StartedResponse,
  { mayBegin, onEvents }: StreamRelayOptions,
): Promise<RelayOutcome> {
  const { res } = scope;
  const splitter = EventStreamSplitter.create();
  let lastEventId: string | undefined;
  let hasEvents = false;
  const abort = () => call.abort();
  scope.signal.addEventListener("abort", abort);
  if (scope.signal.aborted) call.abort();
  const broken = (reason: string): RelayOutcome => ({
    kind: "broken",
    reason,
    lastEventId,
    incompleteBytes: splitter.incompleteBytes,
  });
  try {
    for await (const chunk of call.body()) {
      const events = splitter.push(chunk);
      if (!events && splitter.incompleteBytes > MAX_EVENT_BYTES) {
        call.abort();
        return broken("event too long");
      }
      if (!events) continue;
      if (!hasEvents && !mayBegin()) {
        call.abort();
        return broken("other software version");
      }
      if (!res.headersSent) {
        const { "content-length": _, ...headers } = selectCallerHeaders(
          head.headers,
        );
        res.writeHead(head.status, headers);
      }
      hasEvents = true;
      onEvents();
      lastEventId = events.lastId ?? lastEventId;
      await write(scope, call, events.bytes);
    }
  } catch (error) {
    if (!(error instanceof ReplicaCallError)) throw error;
    if (scope.signal.aborted) return { kind: "given up" };
    return broken(error.message);
  } finally {
    scope.signal.removeEventListener("abort", abort);
  }
  if (splitter.isInsideEvent) return broken("ended inside an event");
  if (!hasEvents && framingOf(head.headers) === "close") {
    return broken("ended before its first event");
  }
  if (!res.headersSent) {
    res.writeHead(head.status, selectCallerHeaders(head.headers));
  }
  if (splitter.incompleteBytes > 0) res.write(splitter.incompleteEvent);
  end(scope);
  return { kind: "whole" };
}

/** Ends a response, and holds what of it the caller hasn't taken. */
function end({ res, holdUnread }: RequestScope): void {
  res.end();
  if (res.destroyed || res.writableLength < MIN_HELD_BYTES) return;
  holdUnread(res.writableLength);
}

/**
 * Writes to the caller and waits while its buffer is full, but no longer than
 * the request's deadline. What is held meanwhile is counted, and the replica is
 * not read on if memory is short.
 */
async function write(
  { res, signal, holdUnread }: RequestScope,
  call: ReplicaCall,
  bytes: Buffer,
): Promise<void> {
  if (res.destroyed || res.write(bytes) || signal.aborted) return;
  // Until then the connection is corked, also if its caller reads at once.
  await new Promise<void>((resolve) => process.nextTick(resolve));
  if (!res.writableNeedDrain || res.writableLength < MIN_HELD_BYTES) return;
  if (signal.aborted) return;
  const unread = holdUnread(res.writableLength);
  unread.count(call.countUnread((arrived) => unread.count(arrived)));
  await new Promise<void>((resolve) => {
    const end = () => {
      res.off("drain", end);
      res.off("close", end);
      signal.removeEventListener("abort", end);
      resolve();
    };
    res.on("drain", end);
    res.on("close", end);
    signal.addEventListener("abort", end);
  });
  call.countUnread(undefined);
  unread.close();
}
