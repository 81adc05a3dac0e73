import { createParser } from "eventsource-parser";
import type { Sleep } from "@banyanspool/types";
import { startIdleTimeout } from "@banyanspool/retry";
import type { AttemptBuffer, AttemptUsage } from "./attempt_buffer.ts";
import type { EngineStream } from "./engine_client.ts";

const IDLE_TIMEOUT_MS = 3000;
const FINAL_EVENT_DATA = "[DONE]";

/** Options of {@link copyStream}. */
export interface CopyStreamOptions {
  /** Buffer that receives the bytes. */
  readonly buffer: AttemptBuffer;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Whether the response is an event stream, which ends with a final event. */
  readonly isEventStream: boolean;
  /** Sleep function of the idle timeout. */
  readonly sleep: Sleep;
  /** Monotonic time in ms. */
  readonly now: () => number;
  /** Called with the number of generated tokens in each chunk. */
  readonly onTokens: (tokens: number) => void;
}

/**
 * Copies an engine's response into a buffer. Returns "whole" only after the
 * final event of an event stream, or the whole body of any other response.
 */
export async function copyStream(
  stream: EngineStream,
  options: CopyStreamOptions,
): Promise<"whole" | "broken"> {
  const { buffer, signal, isEventStream } = options;
  const eventReader = createEventReader();
  if (!buffer.head) {
    const { status, contentType } = stream;
    if (isEventStream) buffer.start({ status, contentType });
  }
  const bodyChunks: Uint8Array[] = [];
  const idleTimeout = startIdleTimeout({
    timeoutMs: IDLE_TIMEOUT_MS,
    now: options.now,
    sleep: options.sleep,
    onTimeout: () => stream.destroy(),
  });
  // The engine sends nothing of a non-streaming response before it is complete.
  idleTimeout.setPaused(!isEventStream);
  try {
    for await (const chunk of stream.chunks) {
      if (signal.aborted) return "broken";
      if (!isEventStream) {
        bodyChunks.push(chunk);
        continue;
      }
      idleTimeout.setPaused(true);
      const tokens = eventReader.read(chunk);
      buffer.append(Uint8Array.from(chunk), tokens);
      options.onTokens(tokens);
      if (eventReader.isDone()) {
        buffer.finish({ kind: "finished", usage: eventReader.usage() });
        return "whole";
      }
      await buffer.waitForCapacity(signal);
      idleTimeout.setPaused(false);
    }
    if (isEventStream) return "broken";
    return finishBody(stream, Buffer.concat(bodyChunks), options);
  } catch {
    return "broken";
  } finally {
    idleTimeout.stop();
    stream.destroy();
  }
}

function finishBody(
  { status, contentType }: EngineStream,
  body: Buffer,
  { buffer, onTokens }: CopyStreamOptions,
): "whole" | "broken" {
  const usage = readUsage(JSON.parse(body.toString("utf8")));
  if (!usage) return "broken";
  buffer.start({ status, contentType });
  buffer.append(body, usage.generatedTokens);
  onTokens(usage.generatedTokens);
  buffer.finish({ kind: "finished", usage });
  return "whole";
}

/** Counts tokens and detects the final event in the bytes of a stream. */
function createEventReader(): {
  read: (bytes: Uint8Array) => number;
  isDone: () => boolean;
  usage: () => AttemptUsage;
} {
  const decoder = new TextDecoder();
  let tokens = 0;
  let totalTokens = 0;
  let isDone = false;
  let usage: AttemptUsage | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === FINAL_EVENT_DATA) {
        isDone = true;
        return;
      }
      const fields = JSON.parse(data) as CompletionResponse;
      usage = readUsage(fields) ?? usage;
      if ((fields.choices?.length ?? 0) > 0) tokens += 1;
    },
  });
  return {
    read: (bytes) => {
      tokens = 0;
      parser.feed(decoder.decode(bytes, { stream: true }));
      totalTokens += tokens;
      return tokens;
    },
    isDone: () => isDone,
    usage: () =>
      usage ??
        { promptTokens: 0, generatedTokens: totalTokens, cachedTokens: 0 },
  };
}

interface CompletionResponse {
  readonly choices?: readonly unknown[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  } | null;
}

function readUsage(fields: CompletionResponse): AttemptUsage | undefined {
  const { usage } = fields;
  if (!usage) return undefined;
  return {
    promptTokens: usage.prompt_tokens,
    generatedTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
