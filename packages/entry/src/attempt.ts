import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import {
  type AttemptKey,
  type Refusal,
  type RefusalCode,
  refuse,
  type Sleep,
} from "@banyanspool/types";
import {
  AskRequestSchema,
  CancelRequestSchema,
  fromWireAttempt,
  type PeerConnection,
  type PeerPool,
  ResumeRequestSchema,
  type RunFrame,
  type RunRequest,
} from "@banyanspool/wire";
import { startIdleTimeout } from "@banyanspool/retry";
import { createLog } from "@banyanspool/logger";
import type { ResponseSink } from "./response_sink.ts";

const SILENCE_MS = 2000;
const ASK_TIMEOUT_MS = 1000;
const ASK_TRIES = 3;
const ASK_PAUSE_MS = 250;
const MAX_RESUMES = 5;

const log = createLog("entry:attempt");

/** How an attempt ended. */
export type AttemptOutcome =
  | {
    readonly kind: "finished";
    readonly promptTokens: number;
    readonly generatedTokens: number;
    readonly cachedTokens: number;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The agent can't be reached and nobody can tell whether it ran. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The request was given up here. */
  | { readonly kind: "aborted" };

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
  /** Connections to agents. */
  readonly pool: PeerPool;
  /** Waits between questions. */
  readonly sleep: Sleep;
  /** Monotonic time. */
  readonly now: () => number;
  /** Agent's address. */
  readonly address: string;
  /** The attempt. */
  readonly request: RunRequest;
  /** Where the answer goes. */
  readonly sink: ResponseSink;
  /** Aborted when the request is given up. */
  readonly signal: AbortSignal;
  /** Called when the replica has begun. */
  readonly onStarted: () => void;
  /** Called with each frame's new tokens. */
  readonly onTokens: (tokens: number) => void;
  /** Called with the queue length that comes with frames. */
  readonly onQueuedTokens: (queuedTokens: number) => void;
  /** Counts frames that belong to another attempt or offset. */
  readonly onDroppedFrame: (reason: "attempt" | "offset") => void;
}

type StreamEnd =
  | AttemptOutcome
  | { readonly kind: "interrupted"; readonly error: unknown };

/**
 * Runs one attempt: opens the stream, passes frames on, and after a silence
 * or a lost connection asks over a new one what became of the attempt.
 */
export async function runAttempt(
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { pool, address, request, signal } = options;
  const progress = { offset: 0 };
  let connection = pool.at(address);
  let end = await readStream(
    (streamSignal) => connection.agent.run(request, { signal: streamSignal }),
    { options, progress },
  );
  for (let resumes = 0; end.kind === "interrupted"; resumes += 1) {
    if (signal.aborted) break;
    if (neverSent(end.error)) {
      return { kind: "refused", refusal: notSent(request.replica) };
    }
    if (resumes >= MAX_RESUMES) {
      return { kind: "lost", detail: "the stream broke too often" };
    }
    connection.abandon();
    const state = await askAgent(options);
    if (state === "not_run") {
      return { kind: "refused", refusal: notBegun(request.replica) };
    }
    if (state === "unknown") {
      return { kind: "lost", detail: describeError(end.error) };
    }
    connection = pool.at(address);
    end = await resumeStream(options, { progress, connection });
  }
  if (signal.aborted) {
    await cancelAttempt(options);
    return { kind: "aborted" };
  }
  return end.kind === "interrupted"
    ? { kind: "lost", detail: describeError(end.error) }
    : end;
}

async function resumeStream(
  options: AttemptOptions,
  { progress, connection }: {
    progress: { offset: number };
    connection: PeerConnection;
  },
): Promise<StreamEnd> {
  const { request } = options;
  const req = create(ResumeRequestSchema, {
    attempt: request.attempt,
    agentIncarnation: request.agentIncarnation,
    offset: BigInt(progress.offset),
  });
  log(`Attempt resumes at offset ${progress.offset}`);
  return await readStream(
    (signal) => connection.agent.resume(req, { signal }),
    { options, progress },
  );
}

async function readStream(
  open: (signal: AbortSignal) => AsyncIterable<RunFrame>,
  { options, progress }: {
    options: AttemptOptions;
    progress: { offset: number };
  },
): Promise<StreamEnd> {
  const stop = new AbortController();
  const signal = AbortSignal.any([options.signal, stop.signal]);
  let isSilent = false;
  const watch = startIdleTimeout({
    timeoutMs: SILENCE_MS,
    now: options.now,
    sleep: options.sleep,
    onTimeout: () => {
      isSilent = true;
      stop.abort();
    },
  });
  try {
    for await (const frame of open(signal)) {
      // A slow caller must not look like a silent agent.
      watch.setPaused(true);
      const end = await takeFrame(frame, options, progress);
      if (end) return end;
      watch.setPaused(false);
    }
    const error = new Error("the stream ended without a final frame");
    return { kind: "interrupted", error };
  } catch (error) {
    const silence = new Error("the agent is silent");
    return { kind: "interrupted", error: isSilent ? silence : error };
  } finally {
    watch.stop();
    stop.abort();
  }
}

/** Returns the end of the attempt if the frame is a final one. */
async function takeFrame(
  frame: RunFrame,
  options: AttemptOptions,
  progress: { offset: number },
): Promise<StreamEnd | undefined> {
  const { sink, request } = options;
  const attempt = fromWireAttempt(frame.attempt);
  if (!isSame(attempt, fromWireAttempt(request.attempt))) {
    options.onDroppedFrame("attempt");
    return undefined;
  }
  options.onQueuedTokens(frame.queuedTokens);
  switch (frame.kind.case) {
    case "started":
      sink.start(frame.kind.value.status, frame.kind.value.contentType);
      options.onStarted();
      return undefined;
    case "data": {
      const skip = progress.offset - Number(frame.offset);
      if (skip < 0 || skip >= frame.kind.value.length) {
        options.onDroppedFrame("offset");
        return skip < 0
          ? { kind: "interrupted", error: new Error("bytes are missing") }
          : undefined;
      }
      const bytes = frame.kind.value.subarray(skip);
      progress.offset += bytes.length;
      options.onTokens(frame.tokens);
      await sink.write(bytes);
      return undefined;
    }
    case "finished": {
      if (Number(frame.offset) !== progress.offset) {
        return { kind: "interrupted", error: new Error("bytes are missing") };
      }
      const { promptTokens, generatedTokens, cachedTokens } = frame.kind.value;
      return { kind: "finished", promptTokens, generatedTokens, cachedTokens };
    }
    case "refused": {
      const { code, message, ran, retryAfterMs } = frame.kind.value;
      const refusal = refuse(code as RefusalCode, message, {
        ran: ran === "no" ? "no" : "unknown",
        retryAfterMs: retryAfterMs === 0 ? undefined : retryAfterMs,
      });
      return { kind: "refused", refusal };
    }
    case "heartbeat":
    case undefined:
      return undefined;
  }
}

/** Asks over a new connection whether the attempt has begun. */
async function askAgent(
  options: AttemptOptions,
): Promise<"not_run" | "begun" | "unknown"> {
  const { pool, address, request, sleep, signal } = options;
  const req = create(AskRequestSchema, {
    attempt: request.attempt,
    agentIncarnation: request.agentIncarnation,
  });
  for (let tries = 0; tries < ASK_TRIES; tries += 1) {
    if (signal.aborted) return "unknown";
    const connection = pool.at(address);
    try {
      const res = await connection.agent
        .ask(req, { timeoutMs: ASK_TIMEOUT_MS });
      if (res.state === "not_run") return "not_run";
      if (res.state === "begun" || res.state === "finished") return "begun";
      return "unknown";
    } catch (error) {
      log(`Agent "${address}" does not answer: ${describeError(error)}`);
      connection.abandon();
      await sleep(ASK_PAUSE_MS, signal).catch(() => {});
    }
  }
  return "unknown";
}

async function cancelAttempt(options: AttemptOptions): Promise<void> {
  const { pool, address, request } = options;
  const req = create(CancelRequestSchema, {
    attempt: request.attempt,
    agentIncarnation: request.agentIncarnation,
  });
  try {
    await pool.at(address).agent.cancel(req, { timeoutMs: ASK_TIMEOUT_MS });
  } catch (error) {
    log(`Cancel at "${address}" failed: ${describeError(error)}`);
  }
}

/** Whether no connection was there, so that nothing can have been written. */
function neverSent(error: unknown): boolean {
  if (!(error instanceof ConnectError)) return false;
  if (error.code !== Code.Unavailable) return false;
  const cause = error.cause as { code?: string; syscall?: string } | undefined;
  return cause?.syscall === "connect";
}

function notSent(replica: string): Refusal {
  return refuse("no_replica", `Replica "${replica}" can't be reached`);
}

function notBegun(replica: string): Refusal {
  return refuse("tombstoned", `Replica "${replica}" had not begun`);
}

function isSame(a: AttemptKey, b: AttemptKey): boolean {
  return a.entry === b.entry && a.incarnation === b.incarnation &&
    a.sequence === b.sequence;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
