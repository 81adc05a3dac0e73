import { createParser } from "eventsource-parser";
import type { Sleep } from "@banyanspool/types";
import { startIdleTimeout } from "@banyanspool/retry";
import type { AttemptBuffer, AttemptUsage } from "./attempt_buffer.ts";
import type { EngineStream } from "./engine_client.ts";

const SILENCE_MS = 3000;
const DONE = "[DONE]";

/** Options of {@link copyStream}. */
export interface CopyStreamOptions {
  /** Where the bytes go. */
  readonly buffer: AttemptBuffer;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
  /** Whether the answer is an event stream with a final event. */
  readonly isEventStream: boolean;
  /** Measures silence. */
  readonly sleep: Sleep;
  /** Monotonic time. */
  readonly now: () => number;
  /** Called with the tokens of each chunk. */
  readonly onTokens: (tokens: number) => void;
}

/**
 * Copies an engine's answer into a buffer. Returns "whole" only after the
 * engine's final event, or the whole body of an answer in one piece.
 */
export async function copyStream(
  stream: EngineStream,
  options: CopyStreamOptions,
): Promise<"whole" | "broken"> {
  const { buffer, signal, isEventStream } = options;
  const reader = createEventReader();
  if (!buffer.head) {
    const { status, contentType } = stream;
    if (isEventStream) buffer.start({ status, contentType });
  }
  const whole: Uint8Array[] = [];
  const watch = startIdleTimeout({
    timeoutMs: SILENCE_MS,
    now: options.now,
    sleep: options.sleep,
    onTimeout: () => stream.destroy(),
  });
  // An answer in one piece is silent until it is there.
  watch.setPaused(!isEventStream);
  try {
    for await (const chunk of stream.chunks) {
      if (signal.aborted) return "broken";
      if (!isEventStream) {
        whole.push(chunk);
        continue;
      }
      watch.setPaused(true);
      const tokens = reader.read(chunk);
      buffer.append(Uint8Array.from(chunk), tokens);
      options.onTokens(tokens);
      if (reader.isDone()) {
        buffer.finish({ kind: "finished", usage: reader.usage() });
        return "whole";
      }
      await buffer.waitForCapacity(signal);
      watch.setPaused(false);
    }
    if (isEventStream) return "broken";
    return finishWhole(stream, Buffer.concat(whole), options);
  } catch {
    return "broken";
  } finally {
    watch.stop();
    stream.destroy();
  }
}

function finishWhole(
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

/** Reads token counts and the final event from the bytes of a stream. */
function createEventReader(): {
  read: (bytes: Uint8Array) => number;
  isDone: () => boolean;
  usage: () => AttemptUsage;
} {
  const decoder = new TextDecoder();
  let tokens = 0;
  let total = 0;
  let isDone = false;
  let usage: AttemptUsage | undefined;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === DONE) {
        isDone = true;
        return;
      }
      const fields = JSON.parse(data) as EngineAnswer;
      usage = readUsage(fields) ?? usage;
      if ((fields.choices?.length ?? 0) > 0) tokens += 1;
    },
  });
  return {
    read: (bytes) => {
      tokens = 0;
      parser.feed(decoder.decode(bytes, { stream: true }));
      total += tokens;
      return tokens;
    },
    isDone: () => isDone,
    usage: () =>
      usage ?? { promptTokens: 0, generatedTokens: total, cachedTokens: 0 },
  };
}

interface EngineAnswer {
  readonly choices?: readonly unknown[];
  readonly usage?: {
    readonly prompt_tokens: number;
    readonly completion_tokens: number;
    readonly prompt_tokens_details?: { readonly cached_tokens?: number };
  } | null;
}

function readUsage(fields: EngineAnswer): AttemptUsage | undefined {
  const { usage } = fields;
  if (!usage) return undefined;
  return {
    promptTokens: usage.prompt_tokens,
    generatedTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
}
