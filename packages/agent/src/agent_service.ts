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

const HEARTBEAT_INTERVAL_MS = 500;

/** Components that the agent creates for each of its engines. */
export interface EngineComponents {
  /** Sends orders to the engine and accounts for its memory. */
  readonly engineManager: EngineManager;
  /** Queues and dispatches the engine's requests. */
  readonly scheduler: EngineScheduler;
}

/** Options of {@link addAgentService}. */
export interface AgentServiceOptions {
  /** Incarnation of the agent; calls for another one have no effect. */
  readonly incarnation: number;
  /** Manager of the attempts. */
  readonly attempts: AttemptManager;
  /** Engines by replica name. */
  readonly engines: ReadonlyMap<string, EngineComponents>;
  /** Sleep function that times heartbeats. */
  readonly sleep: Sleep;
  /** Monotonic time in ms. */
  readonly now: () => number;
}

/** Adds the RPC service that entries and other agents call. */
export function addAgentService(
  router: ConnectRouter,
  options: AgentServiceOptions,
): void {
  const { attempts, incarnation } = options;
  router.service(AgentService, {
    async *run(req, ctx) {
      if (Number(req.agentIncarnation) !== incarnation) {
        yield createRefusal(req.attempt, incarnationChangedRefusal());
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
        yield createRefusal(req.attempt, unknownAttemptRefusal());
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
      const isSameIncarnation = Number(req.agentIncarnation) === incarnation;
      const key = fromWireAttempt(req.attempt);
      return {
        state: isSameIncarnation ? attempts.resolveState(key) : "unknown",
      };
    },
    cancel: (req) => {
      const isSameIncarnation = Number(req.agentIncarnation) === incarnation;
      if (isSameIncarnation) attempts.cancel(fromWireAttempt(req.attempt));
      return {};
    },
    pin: (req) => handlePin(options, req),
    advise: (req) => ({ accepted: handleAdvice(options, req) }),
  });
}

/** Yields an attempt's frames from an offset on, and heartbeats when idle. */
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
  const createFrame = (kind: RunFrame["kind"], at: number, tokens = 0) =>
    create(RunFrameSchema, {
      attempt: id,
      offset: BigInt(at),
      kind,
      tokens,
      queuedTokens: countQueuedTokens(engines),
    });
  attempt.readers += 1;
  let sentHead = false;
  let position = offset;
  const heartbeat = startHeartbeat(buffer, { sleep, signal });
  try {
    while (!signal.aborted) {
      if (buffer.head && !sentHead) {
        sentHead = true;
        yield createFrame(
          { case: "started", value: toStarted(buffer) },
          position,
        );
      }
      for (const chunk of buffer.chunksFrom(position)) {
        const data = { case: "data" as const, value: chunk.bytes };
        yield createFrame(data, chunk.offset, chunk.tokens);
        position = chunk.offset + chunk.bytes.length;
        buffer.markRead(position);
        heartbeat.isDue = false;
      }
      if (buffer.end && position >= buffer.length) {
        yield createFrame(toFinalFrameKind(buffer.end), position);
        return;
      }
      if (heartbeat.isDue) {
        heartbeat.isDue = false;
        const value = create(HeartbeatSchema);
        yield createFrame({ case: "heartbeat", value }, position);
      }
      if (buffer.length <= position) await buffer.changed();
    }
  } finally {
    heartbeat.stop();
    attempt.readers -= 1;
    attempt.unreadSince = now();
  }
}

interface Heartbeat {
  isDue: boolean;
  readonly stop: () => void;
}

/** Makes a heartbeat due at a fixed interval, and wakes the reader for it. */
function startHeartbeat(
  buffer: AttemptBuffer,
  { sleep, signal }: { sleep: Sleep; signal: AbortSignal },
): Heartbeat {
  const stop = new AbortController();
  const heartbeat = { isDue: false, stop: () => stop.abort() };
  signal.addEventListener("abort", () => buffer.wakeWaiters(), { once: true });
  const run = async () => {
    while (!stop.signal.aborted) {
      await sleep(HEARTBEAT_INTERVAL_MS, stop.signal);
      heartbeat.isDue = true;
      buffer.wakeWaiters();
    }
  };
  run().catch(() => {});
  return heartbeat;
}

function countQueuedTokens(
  engines: ReadonlyMap<string, EngineComponents>,
): number {
  let tokens = 0;
  for (const { scheduler } of engines.values()) {
    tokens += scheduler.queuedTokens;
  }
  return tokens;
}

function toStarted(buffer: AttemptBuffer): Started {
  const { status, contentType } = buffer.head!;
  return create(StartedSchema, { status, contentType });
}

function toFinalFrameKind(end: AttemptEnd): RunFrame["kind"] {
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

function incarnationChangedRefusal(): Refusal {
  return refuse("incarnation_changed", "The agent has been restarted");
}

function unknownAttemptRefusal(): Refusal {
  const message = "The agent has no record of the attempt";
  return refuse("outcome_unknown", message, { ran: "unknown" });
}

function handlePin(
  { engines }: AgentServiceOptions,
  { model, replica }: PinRequest,
): { pinned: boolean; reason: string } {
  const engineManager = engines.get(replica)?.engineManager;
  if (!engineManager) return { pinned: false, reason: "notReady" };
  const result = engineManager.pins.pin(model, engineManager.isReady(model));
  return { pinned: result === "pinned", reason: result };
}

/** Starts the advised model loads at known engines; returns their number. */
function handleAdvice(
  { engines }: AgentServiceOptions,
  { moves }: AdviseRequest,
): number {
  let accepted = 0;
  for (const move of moves) {
    const engineManager = engines.get(move.replica)?.engineManager;
    if (!engineManager) continue;
    accepted += 1;
    const pinSources = new Map(
      move.pinSources.map(({ model, addresses }) => [model, addresses]),
    );
    void engineManager.loadModel(move.loadModel, {
      unload: move.unloadModels,
      pinSources,
    });
  }
  return accepted;
}
