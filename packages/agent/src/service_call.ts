import { type Refusal, refuse } from "@banyanspool/types";
import type { RunRequest } from "@banyanspool/wire";
import { EventStreamSplitter, MAX_EVENT_BYTES } from "@banyanspool/responses";
import type { AttemptBuffer } from "./attempt_buffer.ts";
import { openStream, toEngineError } from "./engine_client.ts";

/** Options of {@link runServiceCall}. */
export interface ServiceCallOptions {
  /** Base URL of the service. */
  readonly url: string;
  /** Request from the entry; its `adapter` field names the service. */
  readonly request: RunRequest;
  /** Buffer that receives the response. */
  readonly buffer: AttemptBuffer;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
}

/**
 * Calls a plain HTTP service, without retries. The call counts as not run only
 * if no connection could be opened.
 */
export async function runServiceCall(
  { url, request, buffer, signal }: ServiceCallOptions,
): Promise<void> {
  const opened = await openStream(url, {
    method: request.method,
    path: request.path,
    headers: createHeaders(request),
    body: request.body.length === 0 ? undefined : request.body,
    signal,
  });
  if (!opened.ok) {
    const isUnreachable = opened.error.kind === "unreachable";
    const refusal = isUnreachable
      ? refuse("engine_failed", `Service "${request.adapter}" can't be reached`)
      : lostCallRefusal(request, opened.error.detail);
    buffer.finish({ kind: "refused", refusal });
    return;
  }
  const { status, contentType, chunks, destroy: abandon } = opened.value;
  buffer.start({ status, contentType });
  const splitter = contentType.startsWith("text/event-stream")
    ? EventStreamSplitter.create()
    : undefined;
  try {
    for await (const chunk of chunks) {
      splitter?.push(Buffer.from(chunk));
      if (splitter && splitter.incompleteEvent.length > MAX_EVENT_BYTES) {
        throw new Error("Event too long");
      }
      buffer.append(Uint8Array.from(chunk), 0);
      await buffer.waitForCapacity(signal);
    }
    if (splitter?.isInsideEvent) {
      throw new Error("Stream ended inside an event");
    }
    const usage = { promptTokens: 0, generatedTokens: 0, cachedTokens: 0 };
    buffer.finish({ kind: "finished", usage });
  } catch (error) {
    const { detail } = toEngineError(error);
    const refusal = lostCallRefusal(request, detail);
    buffer.finish({ kind: "refused", refusal });
  } finally {
    abandon();
  }
}

function createHeaders(request: RunRequest): Record<string, string> {
  const headers: Record<string, string> = {
    ...request.headers,
    "x-request-id": request.requestId,
    "x-organisation": request.organisation,
  };
  if (request.contentType !== "") {
    headers["content-type"] = request.contentType;
  }
  return headers;
}

function lostCallRefusal(request: RunRequest, detail: string): Refusal {
  const code = request.idempotent ? "engine_failed" : "outcome_unknown";
  const message =
    `Service "${request.adapter}" sent no complete response: ${detail}`;
  return refuse(code, message, { ran: "unknown" });
}
