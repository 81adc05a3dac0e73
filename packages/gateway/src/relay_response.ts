import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { selectCallerHeaders } from "@banyanspool/platform-adapter";
import { EventStreamSplitter } from "./event_stream.ts";
import { ReplicaCallError } from "./replica_call.ts";
import type { RequestScope } from "./request_scope.ts";
import type { StartedResponse } from "./send_attempt.ts";

/** How the relay of an answer ended. */
export type RelayOutcome =
  | { readonly kind: "whole" }
  /** Nothing has reached the caller, and the answer is not whole. */
  | { readonly kind: "lost" }
  /** A stream broke off after whole events. */
  | { readonly kind: "broken"; readonly lastEventId?: string }
  /** The caller left or the final answer is due. */
  | { readonly kind: "given up" };

/** Answers up to this size are sent on when they are whole. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Relays a plain answer once it is whole, or piece by piece if it is large. */
export async function relayPlainResponse(
  scope: RequestScope,
  { call, head }: StartedResponse,
): Promise<RelayOutcome> {
  const { res } = scope;
  const chunks: Buffer[] = [];
  let bytes = 0;
  const giveUp = () => call.abort();
  scope.signal.addEventListener("abort", giveUp);
  try {
    for await (const chunk of call.body()) {
      bytes += chunk.length;
      if (res.headersSent) {
        await write(res, chunk);
        continue;
      }
      chunks.push(chunk);
      if (bytes < MAX_BUFFERED_BYTES) continue;
      res.writeHead(head.status, selectCallerHeaders(head.headers));
      await write(res, Buffer.concat(chunks));
    }
  } catch (error) {
    if (!(error instanceof ReplicaCallError)) throw error;
    if (res.headersSent) res.destroy();
    return scope.signal.aborted ? { kind: "given up" } : { kind: "lost" };
  } finally {
    scope.signal.removeEventListener("abort", giveUp);
  }
  if (!res.headersSent) {
    res.writeHead(head.status, {
      ...selectCallerHeaders(head.headers),
      "content-length": String(bytes),
    });
    res.write(Buffer.concat(chunks));
  }
  res.end();
  return { kind: "whole" };
}

/** What a relay of a stream tells while it runs. */
export interface StreamRelayOptions {
  /** Called when the first event is on its way to the caller. */
  readonly onEvents: () => void;
}

/** Relays a stream event by event, and never a part of one. */
export async function relayStream(
  scope: RequestScope,
  { call, head }: StartedResponse,
  { onEvents: onFirstEvent }: StreamRelayOptions,
): Promise<RelayOutcome> {
  const { res } = scope;
  const cutter = EventStreamSplitter.create();
  let lastEventId: string | undefined;
  const giveUp = () => call.abort();
  scope.signal.addEventListener("abort", giveUp);
  if (scope.signal.aborted) call.abort();
  try {
    for await (const chunk of call.body()) {
      const whole = cutter.push(chunk);
      if (!whole) continue;
      if (!res.headersSent) {
        const { "content-length": _, ...headers } = selectCallerHeaders(
          head.headers,
        );
        res.writeHead(head.status, headers);
      }
      onFirstEvent();
      lastEventId = whole.lastId ?? lastEventId;
      await write(res, whole.bytes);
    }
  } catch (error) {
    if (!(error instanceof ReplicaCallError)) throw error;
    if (scope.signal.aborted) return { kind: "given up" };
    return { kind: "broken", lastEventId };
  } finally {
    scope.signal.removeEventListener("abort", giveUp);
  }
  if (!res.headersSent) {
    res.writeHead(head.status, selectCallerHeaders(head.headers));
  }
  if (cutter.incompleteEvent.length > 0) res.write(cutter.incompleteEvent);
  res.end();
  return { kind: "whole" };
}

/** Writes, and waits while the caller does not read. */
async function write(res: ServerResponse, bytes: Buffer): Promise<void> {
  if (res.destroyed || res.write(bytes)) return;
  await Promise.race([once(res, "drain"), once(res, "close")]);
}
