import { create } from "@bufbuild/protobuf";
import type { ConnectRouter } from "@connectrpc/connect";
import { type Refusal, refuse, type Sleep } from "@banyanspool/types";
import {
  type AdviseRequest,
  AgentService,
  type AttemptId,
  fromWireAttempt,
  HeartbeatSchema,
  type PinRequest,
  type RunFrame,
  RunFrameSchema,
  type Started,
  StartedSchema,
} from "@banyanspool/wire";
import type { AttemptManager, LiveAttempt } from "./attempt_manager.ts";
import type { AttemptBuffer, AttemptEnd } from "./attempt_buffer.ts";
import type { EngineManager } from "./engine_manager.ts";
import type { EngineScheduler } from "./engine_scheduler.ts";

const HEARTBEAT_MS = 500;

/** One engine of the agent. */
export interface EngineComponents {
  /** Orders and memory. */
  readonly engineManager: EngineManager;
  /** Queue. */
  readonly scheduler: EngineScheduler;
}

/** Options of {@link addAgentService}. */
export interface AgentServiceOptions {
  /** Incarnation of the agent. */
  readonly incarnation: number;
  /** Attempts. */
  readonly attempts: AttemptManager;
  /** Engines by replica name. */
  readonly engines: ReadonlyMap<string, EngineComponents>;
  /** Measures heartbeats. */
  readonly sleep: Sleep;
  /** Time source. */
  readonly now: () => number;
}

/** Adds the service that entries and other agents call. */
export function addAgentService(
  router: ConnectRouter,
  options: AgentServiceOptions,
): void {
  const { attempts, incarnation } = options;
  router.service(AgentService, {
    async *run(req, ctx) {
      if (Number(req.agentIncarnation) !== incarnation) {
        yield createRefusal(req.attempt, otherIncarnation());
        return;
      }
      const begun = attempts.begin(req);
      if ("code" in begun) {
        yield createRefusal(req.attempt, begun);
        return;
      }
      yield* readAttempt(options, {
        id: req.attempt,
        attempt: begun,
        offset: 0,
        signal: ctx.signal,
      });
    },
    async *resume(req, ctx) {
      const key = fromWireAttempt(req.attempt);
      const attempt = attempts.find(key);
      if (Number(req.agentIncarnation) !== incarnation || !attempt) {
        yield createRefusal(req.attempt, forgotten());
        return;
      }
      yield* readAttempt(options, {
        id: req.attempt,
        attempt,
        offset: Number(req.offset),
        signal: ctx.signal,
      });
    },
    ask: (req) => {
      const isMeant = Number(req.agentIncarnation) === incarnation;
      const key = fromWireAttempt(req.attempt);
      return { state: isMeant ? attempts.resolveState(key) : "unknown" };
    },
    cancel: (req) => {
      const isMeant = Number(req.agentIncarnation) === incarnation;
      if (isMeant) attempts.cancel(fromWireAttempt(req.attempt));
      return {};
    },
    pin: (req) => answerPin(options, req),
    advise: (req) => ({ accepted: takeAdvice(options, req) }),
  });
}

/** Yields an attempt's frames from an offset on, with heartbeats between. */
async function* readAttempt(
  { sleep, now, engines }: AgentServiceOptions,
  { id, attempt, offset, signal }: {
    id: AttemptId | undefined;
    attempt: LiveAttempt;
    offset: number;
    signal: AbortSignal;
  },
): AsyncIterable<RunFrame> {
  const { buffer } = attempt;
  const frame = (kind: RunFrame["kind"], at: number, tokens = 0) =>
    create(RunFrameSchema, {
      attempt: id,
      offset: BigInt(at),
      kind,
      tokens,
      queuedTokens: countQueued(engines),
    });
  attempt.readers += 1;
  let sentHead = false;
  let position = offset;
  const beat = startHeartbeat(buffer, { sleep, signal });
  try {
    while (!signal.aborted) {
      if (buffer.head && !sentHead) {
        sentHead = true;
        yield frame({ case: "started", value: toStarted(buffer) }, position);
      }
      for (const chunk of buffer.chunksFrom(position)) {
        const data = { case: "data" as const, value: chunk.bytes };
        yield frame(data, chunk.offset, chunk.tokens);
        position = chunk.offset + chunk.bytes.length;
        buffer.markRead(position);
        beat.isDue = false;
      }
      if (buffer.end && position >= buffer.length) {
        yield frame(toFinalKind(buffer.end), position);
        return;
      }
      if (beat.isDue) {
        beat.isDue = false;
        const value = create(HeartbeatSchema);
        yield frame({ case: "heartbeat", value }, position);
      }
      if (buffer.length <= position) await buffer.changed();
    }
  } finally {
    beat.stop();
    attempt.readers -= 1;
    attempt.unreadSince = now();
  }
}

interface Heartbeat {
  isDue: boolean;
  readonly stop: () => void;
}

/** Makes a heartbeat due now and then, and wakes the reader for it. */
function startHeartbeat(
  buffer: AttemptBuffer,
  { sleep, signal }: { sleep: Sleep; signal: AbortSignal },
): Heartbeat {
  const stop = new AbortController();
  const beat = { isDue: false, stop: () => stop.abort() };
  signal.addEventListener("abort", () => buffer.wakeWaiters(), { once: true });
  const run = async () => {
    while (!stop.signal.aborted) {
      await sleep(HEARTBEAT_MS, stop.signal);
      beat.isDue = true;
      buffer.wakeWaiters();
    }
  };
  run().catch(() => {});
  return beat;
}

function countQueued(engines: ReadonlyMap<string, EngineComponents>): number {
  let tokens = 0;
  for (const { scheduler: runner } of engines.values()) {
    tokens += runner.queuedTokens;
  }
  return tokens;
}

function toStarted(buffer: AttemptBuffer): Started {
  const { status, contentType } = buffer.head!;
  return create(StartedSchema, { status, contentType });
}

function toFinalKind(end: AttemptEnd): RunFrame["kind"] {
  if (end.kind === "finished") {
    return create(RunFrameSchema, {
      kind: { case: "finished", value: end.usage },
    }).kind;
  }
  return createRefusal(undefined, end.refusal).kind;
}

function createRefusal(
  attempt: AttemptId | undefined,
  refusal: Refusal,
): RunFrame {
  const { code, message, ran, retryAfterMs } = refusal;
  return create(RunFrameSchema, {
    attempt,
    kind: {
      case: "refused",
      value: { code, message, ran, retryAfterMs: retryAfterMs ?? 0 },
    },
  });
}

function otherIncarnation(): Refusal {
  return refuse("incarnation_changed", "The agent has been restarted");
}

function forgotten(): Refusal {
  const message = "The agent no longer knows the attempt";
  return refuse("outcome_unknown", message, { ran: "unknown" });
}

function answerPin(
  { engines }: AgentServiceOptions,
  { model, replica }: PinRequest,
): { pinned: boolean; reason: string } {
  const keeper = engines.get(replica)?.engineManager;
  if (!keeper) return { pinned: false, reason: "notReady" };
  const answer = keeper.pins.pin(model, keeper.isReady(model));
  return { pinned: answer === "pinned", reason: answer };
}

/** Starts the loads that the agent agrees to; returns how many. */
function takeAdvice(
  { engines }: AgentServiceOptions,
  { moves }: AdviseRequest,
): number {
  let accepted = 0;
  for (const move of moves) {
    const keeper = engines.get(move.replica)?.engineManager;
    if (!keeper) continue;
    accepted += 1;
    const pinSources = new Map(
      move.pinSources.map(({ model, addresses }) => [model, addresses]),
    );
    void keeper.loadModel(move.loadModel, {
      unload: move.unloadModels,
      pinSources,
    });
  }
  return accepted;
}
