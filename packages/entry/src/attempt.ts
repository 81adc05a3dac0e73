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

const STREAM_IDLE_TIMEOUT_MS = 2000;
const AGENT_CALL_TIMEOUT_MS = 1000;
const MAX_STATUS_QUERIES = 3;
const STATUS_QUERY_PAUSE_MS = 250;
const MAX_RESUMES = 5;

const log = createLog("entry:attempt");

/** Outcome of one attempt. */
export type AttemptOutcome =
  | {
    readonly kind: "finished";
    readonly promptTokens: number;
    readonly generatedTokens: number;
    readonly cachedTokens: number;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The agent is unreachable, so it is unknown whether the request ran. */
  | { readonly kind: "lost"; readonly detail: string }
  /** The entry aborted the request. */
  | { readonly kind: "aborted" };

/** Options of {@link runAttempt}. */
export interface AttemptOptions {
  /** Connections to agents. */
  readonly pool: PeerPool;
  /** Waits between status queries. */
  readonly sleep: Sleep;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Address of the agent that runs the attempt. */
  readonly address: string;
  /** Request sent to the agent, with the key of the attempt. */
  readonly request: RunRequest;
  /** Receives the response. */
  readonly sink: ResponseSink;
  /** Aborts the attempt. */
  readonly signal: AbortSignal;
  /** Called when the replica starts to respond. */
  readonly onStarted: () => void;
  /** Called with the number of new tokens in each data frame. */
  readonly onTokens: (tokens: number) => void;
  /** Called with the replica's queued tokens, as each frame reports them. */
  readonly onQueuedTokens: (queuedTokens: number) => void;
  /** Called for each dropped frame: of another attempt or a wrong offset. */
  readonly onDroppedFrame: (reason: "attempt" | "offset") => void;
}

type StreamEnd =
  | AttemptOutcome
  | { readonly kind: "interrupted"; readonly error: unknown };

/**
 * Runs one attempt: opens the stream and passes its frames to the sink. When
 * the stream is idle too long or its connection breaks, opens a new connection,
 * asks the agent for the state of the attempt and resumes the stream.
 */
export async function runAttempt(
  options: AttemptOptions,
): Promise<AttemptOutcome> {
  const { pool, address, request, signal } = options;
  const progress = { offset: 0 };
  let connection = pool.getConnection(address);
  let end = await readStream(
    (streamSignal) => connection.agent.run(request, { signal: streamSignal }),
    { options, progress },
  );
  for (let resumes = 0; end.kind === "interrupted"; resumes += 1) {
    if (signal.aborted) break;
    if (isConnectError(end.error)) {
      return {
        kind: "refused",
        refusal: createUnreachableRefusal(request.replica),
      };
    }
    if (resumes >= MAX_RESUMES) {
      return {
        kind: "lost",
        detail: "the stream was interrupted too many times",
      };
    }
    connection.abandon();
    const state = await queryAttemptState(options);
    if (state === "not_run") {
      return { kind: "refused", refusal: createNotRunRefusal(request.replica) };
    }
    if (state === "unknown") {
      return { kind: "lost", detail: describeError(end.error) };
    }
    connection = pool.getConnection(address);
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
  log(`Resuming the attempt at offset ${progress.offset}`);
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
  let isIdle = false;
  const idleTimeout = startIdleTimeout({
    timeoutMs: STREAM_IDLE_TIMEOUT_MS,
    now: options.now,
    sleep: options.sleep,
    onTimeout: () => {
      isIdle = true;
      stop.abort();
    },
  });
  try {
    for await (const frame of open(signal)) {
      // Back-pressure from a slow caller must not count as an idle stream.
      idleTimeout.setPaused(true);
      const end = await handleFrame(frame, options, progress);
      if (end) return end;
      idleTimeout.setPaused(false);
    }
    const error = new Error("the stream ended without a final frame");
    return { kind: "interrupted", error };
  } catch (error) {
    const idleError = new Error("the agent stopped sending frames");
    return { kind: "interrupted", error: isIdle ? idleError : error };
  } finally {
    idleTimeout.stop();
    stop.abort();
  }
}

/** Handles a frame. Returns how the stream ended, or undefined to go on. */
async function handleFrame(
  frame: RunFrame,
  options: AttemptOptions,
  progress: { offset: number },
): Promise<StreamEnd | undefined> {
  const { sink, request } = options;
  const attempt = fromWireAttempt(frame.attempt);
  if (!isSameAttempt(attempt, fromWireAttempt(request.attempt))) {
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

/** Asks the agent over a new connection whether the attempt has begun. */
async function queryAttemptState(
  options: AttemptOptions,
): Promise<"not_run" | "begun" | "unknown"> {
  const { pool, address, request, sleep, signal } = options;
  const req = create(AskRequestSchema, {
    attempt: request.attempt,
    agentIncarnation: request.agentIncarnation,
  });
  for (let tries = 0; tries < MAX_STATUS_QUERIES; tries += 1) {
    if (signal.aborted) return "unknown";
    const connection = pool.getConnection(address);
    try {
      const res = await connection.agent
        .ask(req, { timeoutMs: AGENT_CALL_TIMEOUT_MS });
      if (res.state === "not_run") return "not_run";
      if (res.state === "begun" || res.state === "finished") return "begun";
      return "unknown";
    } catch (error) {
      log(`Status query to agent "${address}" failed: ${describeError(error)}`);
      connection.abandon();
      await sleep(STATUS_QUERY_PAUSE_MS, signal).catch(() => {});
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
    await pool.getConnection(address).agent.cancel(req, {
      timeoutMs: AGENT_CALL_TIMEOUT_MS,
    });
  } catch (error) {
    log(
      `Cancelling the attempt at "${address}" failed: ${describeError(error)}`,
    );
  }
}

/** Whether connecting failed, so that no byte of the request was sent. */
function isConnectError(error: unknown): boolean {
  if (!(error instanceof ConnectError)) return false;
  if (error.code !== Code.Unavailable) return false;
  const cause = error.cause as { code?: string; syscall?: string } | undefined;
  return cause?.syscall === "connect";
}

function createUnreachableRefusal(replica: string): Refusal {
  return refuse("no_replica", `Replica "${replica}" is unreachable`);
}

function createNotRunRefusal(replica: string): Refusal {
  return refuse(
    "tombstoned",
    `Replica "${replica}" had not started the request`,
  );
}

function isSameAttempt(a: AttemptKey, b: AttemptKey): boolean {
  return a.entry === b.entry && a.incarnation === b.incarnation &&
    a.sequence === b.sequence;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
