import {
  type Clock,
  formatAttemptKey,
  type Refusal,
  refuse,
  type RequestClass,
  type Sleep,
} from "@banyanspool/types";
import {
  FairQueue,
  type QueueItem,
  type QueuePolicy,
} from "@banyanspool/queue";
import { fromWireAttempt, type RunRequest } from "@banyanspool/wire";
import { createLog } from "@banyanspool/logger";
import type { AttemptBuffer } from "./attempt_buffer.ts";
import type { EngineApi, EngineStream } from "./engine_client.ts";
import type { EngineManager } from "./engine_manager.ts";
import { copyStream } from "./copy_stream.ts";

const DISPATCH_INTERVAL_MS = 20;
const IDLE_INTERVAL_MS = 200;
const MAX_ADAPTER_LOADS = 8;
const MAX_RESUMES = 4;
const RESUME_PAUSE_MS = 200;
const DEFAULT_PREFILL_TOKENS_PER_S = 8000;
const DEFAULT_DECODE_US_PER_TOKEN = 30_000;
const MIN_RETRY_AFTER_MS = 250;
const MS_PER_S = 1000;
const US_PER_MS = 1000;

const log = createLog("agent:runner");

/** Options of {@link EngineScheduler.create}. */
export interface EngineSchedulerOptions {
  /** Keeper of the engine's memory. */
  readonly engineManager: EngineManager;
  /** Calls the engine. */
  readonly client: EngineApi;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Sequences that the engine runs together. */
  readonly slots: number;
  /** Order of service. */
  readonly queuePolicy: QueuePolicy;
  /** Weight of an organisation. */
  readonly weightOf: (organisation: string) => number;
}

/** One attempt at an engine. */
export interface EngineJob {
  /** The request. */
  readonly request: RunRequest;
  /** Where the answer goes. */
  readonly buffer: AttemptBuffer;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
}

interface Waiting extends EngineJob {
  readonly giveUpAt: number;
  readonly kvMib: number;
}

/**
 * Queue of one engine: admits what can be served in time, orders it fairly,
 * and feeds the engine up to its slots and memory.
 */
export class EngineScheduler {
  readonly #options: EngineSchedulerOptions;
  readonly #queue: FairQueue<Waiting>;
  readonly #running: Map<string, string> = new Map();
  #adapterLoads = 0;
  #leaving = false;

  private constructor(options: EngineSchedulerOptions) {
    this.#options = options;
    const { queuePolicy: policy, weightOf } = options;
    this.#queue = FairQueue.create({ policy, weightOf });
  }

  /** Creates a runner with nothing to do. */
  static create(options: EngineSchedulerOptions): EngineScheduler {
    return new EngineScheduler(options);
  }

  /** Prompt tokens that wait. */
  get queuedTokens(): number {
    return this.#queue.tokens;
  }

  /** Requests that wait. */
  get queueLength(): number {
    return this.#queue.length;
  }

  /** Requests that the engine runs. */
  get running(): number {
    return this.#running.size;
  }

  /** Waiting and running requests of a model. */
  countActive(model: string): number {
    let active = 0;
    for (const running of this.#running.values()) {
      if (running === model) active += 1;
    }
    return active + this.#waiting(model);
  }

  /** Refuses new requests from now on. */
  startDraining(): void {
    this.#leaving = true;
  }

  /** Takes a request, or returns why it certainly has not run. */
  submit(job: EngineJob): Refusal | undefined {
    const { engineManager: keeper, clock } = this.#options;
    const { request } = job;
    const { replica } = keeper;
    if (this.#leaving) {
      return refuse("draining", `Replica "${replica}" is shutting down`);
    }
    if (!keeper.isReady(request.model)) {
      const message = `Replica "${replica}" has no model "${request.model}"`;
      return refuse("not_ready", message);
    }
    const waitMs = this.#predictWaitMs(request);
    if (waitMs > request.giveUpAfterMs) {
      const message = `Replica "${replica}" is ${Math.ceil(waitMs)} ms behind`;
      const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, waitMs);
      return refuse("overloaded", message, { retryAfterMs });
    }
    const now = clock.now();
    const tokens = request.promptTokens + request.maxTokens;
    this.#queue.push({
      organisation: request.organisation,
      requestClass: request.requestClass as RequestClass,
      promptTokens: request.promptTokens,
      dueAt: now + request.firstTokenWithinMs,
      value: {
        ...job,
        giveUpAt: now + request.giveUpAfterMs,
        kvMib: keeper.kvMibOf(request.model, tokens),
      },
    });
    this.#dispatch();
    return undefined;
  }

  /** Drops what waited too long until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#dispatch();
      const isIdle = this.#queue.length === 0;
      const intervalMs = isIdle ? IDLE_INTERVAL_MS : DISPATCH_INTERVAL_MS;
      await this.#options.sleep(intervalMs, signal);
    }
  }

  #waiting(model: string): number {
    return this.#queue.countWhere(({ value }) => value.request.model === model);
  }

  #predictWaitMs(request: RunRequest): number {
    const { engineManager: keeper, slots } = this.#options;
    const rate = keeper.load?.prefill_tokens_per_s ??
      DEFAULT_PREFILL_TOKENS_PER_S;
    const dueAt = this.#options.clock.now() + request.firstTokenWithinMs;
    const ahead = this.#queue.tokensBefore(request.organisation, dueAt);
    const prefillMs = ahead / rate * MS_PER_S;
    const excess = this.#running.size + this.#queue.length + 1 - slots;
    if (excess <= 0) return prefillMs;
    const decodeUs = keeper.load?.decode_us_per_token ??
      DEFAULT_DECODE_US_PER_TOKEN;
    const sequenceMs = request.maxTokens * decodeUs / US_PER_MS;
    return Math.max(prefillMs, excess * sequenceMs / slots);
  }

  #dispatch(): void {
    const now = this.#options.clock.now();
    this.#dropLate();
    while (this.#running.size < this.#options.slots) {
      const next = this.#queue.peek(now);
      if (next === undefined) return;
      const id = sequenceId(next.value.request);
      if (!this.#options.engineManager.ledger.reserveKv(id, next.value.kvMib)) {
        return;
      }
      this.#queue.take(next);
      this.#running.set(id, next.value.request.model);
      void this.#serve(id, next);
    }
  }

  #dropLate(): void {
    const now = this.#options.clock.now();
    const late = this.#queue.removeWhere(({ value }) =>
      value.signal.aborted || value.giveUpAt <= now
    );
    for (const { value } of late) {
      const code = value.signal.aborted ? "cancelled" : "overloaded";
      const message = value.signal.aborted
        ? "The request was cancelled while it waited"
        : `Replica "${this.#options.engineManager.replica}" had no slot in time`;
      const retryAfterMs = value.signal.aborted ? undefined : MS_PER_S;
      const refusal = refuse(code, message, { retryAfterMs });
      value.buffer.finish({ kind: "refused", refusal });
    }
  }

  async #serve(id: string, item: QueueItem<Waiting>): Promise<void> {
    const { engineManager: keeper } = this.#options;
    const { request, buffer } = item.value;
    const { model, adapter } = request;
    let isOver = true;
    if (adapter !== "") keeper.acquireAdapter(model, adapter);
    try {
      const refusal = await this.#ensureAdapter(item.value);
      if (refusal) {
        buffer.finish({ kind: "refused", refusal });
        return;
      }
      isOver = await this.#generate(id, item.value);
    } catch (error) {
      isOver = false;
      log(`Sequence ${id} failed: ${String(error)}`);
      buffer.finish({ kind: "refused", refusal: engineFailed(keeper.replica) });
    } finally {
      if (adapter !== "") keeper.releaseAdapter(model, adapter);
      this.#running.delete(id);
      this.#queue.finish(request.organisation);
      // Where the end is not certain, an inventory must show it first.
      if (isOver) keeper.ledger.releaseKv(id);
      else void this.#releaseOnceGone(id);
      this.#dispatch();
    }
  }

  /** Loads the adapter, keeping the loads in flight below the knee. */
  async #ensureAdapter(job: Waiting): Promise<Refusal | undefined> {
    const { engineManager: keeper, sleep } = this.#options;
    const { model, adapter, giveUpAfterMs } = job.request;
    if (adapter === "" || keeper.isAdapterReady(model, adapter)) {
      return undefined;
    }
    while (this.#adapterLoads >= MAX_ADAPTER_LOADS && !job.signal.aborted) {
      await sleep(DISPATCH_INTERVAL_MS);
    }
    this.#adapterLoads += 1;
    try {
      const patienceMs = Math.max(giveUpAfterMs, MS_PER_S);
      const isReady = await keeper.loadAdapter(model, adapter, patienceMs);
      if (isReady) return undefined;
      const message = `Replica "${keeper.replica}" can't load "${adapter}"`;
      return refuse("not_ready", message);
    } finally {
      this.#adapterLoads -= 1;
    }
  }

  /** Returns whether the engine has certainly ended the sequence. */
  async #generate(id: string, job: Waiting): Promise<boolean> {
    const { client, engineManager: keeper } = this.#options;
    const { request, buffer, signal } = job;
    if (signal.aborted) {
      const refusal = refuse("cancelled", "The request was cancelled");
      buffer.finish({ kind: "refused", refusal });
      return true;
    }
    const opened = await client.generate({
      id,
      path: request.path,
      body: this.#createBody(request),
      signal,
    });
    if (!opened.ok && opened.error.kind === "unreachable") {
      const message = `Engine "${keeper.replica}" can't be reached`;
      const refusal = refuse("engine_failed", message);
      buffer.finish({ kind: "refused", refusal });
      return true;
    }
    let stream = opened.ok ? opened.value : undefined;
    for (let resumes = 0; resumes <= MAX_RESUMES; resumes += 1) {
      if (stream && stream.status !== 200) {
        return await this.#rejectJob(job, stream);
      }
      const end = stream && await this.#follow(stream, job);
      if (end === "whole") return true;
      if (signal.aborted) break;
      stream = await this.#resume(id, job);
      if (stream === undefined) break;
    }
    return await this.#abandon(id, job);
  }

  async #follow(stream: EngineStream, job: Waiting): Promise<string> {
    const { request, buffer, signal } = job;
    return await copyStream(stream, {
      buffer,
      signal,
      isEventStream: request.stream,
      sleep: this.#options.sleep,
      now: this.#options.clock.now,
      onTokens: (tokens) => this.#queue.charge(request.organisation, tokens),
    });
  }

  async #resume(id: string, job: Waiting): Promise<EngineStream | undefined> {
    const { client, sleep } = this.#options;
    const { buffer, signal } = job;
    await sleep(RESUME_PAUSE_MS, signal).catch(() => {});
    const offset = buffer.length;
    log(`Sequence ${id} resumes at offset ${offset}`);
    const res = await client.resume({ id, offset, signal });
    return res.ok && res.value.status === 200 ? res.value : undefined;
  }

  async #abandon(id: string, { buffer, signal }: Waiting): Promise<boolean> {
    const { client, engineManager: keeper } = this.#options;
    const cancelled = await client.cancel(id);
    const refusal = signal.aborted
      ? refuse("cancelled", "The request was cancelled", { ran: "unknown" })
      : engineFailed(keeper.replica);
    buffer.finish({ kind: "refused", refusal });
    return cancelled.ok;
  }

  async #rejectJob(job: Waiting, stream: EngineStream): Promise<boolean> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of stream.chunks) chunks.push(chunk);
    const detail = Buffer.concat(chunks).toString("utf8").slice(0, 200);
    const { replica } = this.#options.engineManager;
    const message = `Engine "${replica}" refused the request: ${detail}`;
    const code = stream.status === 404 || stream.status === 503
      ? "not_ready"
      : "bad_request";
    job.buffer.finish({ kind: "refused", refusal: refuse(code, message) });
    return true;
  }

  /** Keeps a sequence's memory claimed until an inventory lacks it. */
  async #releaseOnceGone(id: string): Promise<void> {
    const { engineManager: keeper, clock, sleep, client } = this.#options;
    const endedAt = clock.now();
    while (true) {
      const askedAt = keeper.ledger.inventoryAskedAt ?? -Infinity;
      if (askedAt > endedAt && !keeper.ledger.isRunning(id)) break;
      await client.cancel(id);
      await sleep(RESUME_PAUSE_MS);
    }
    keeper.ledger.releaseKv(id);
  }

  #createBody(request: RunRequest): Uint8Array {
    const fields = JSON.parse(Buffer.from(request.body).toString("utf8"));
    const { engineManager: keeper } = this.#options;
    const { model, adapter } = request;
    return Buffer.from(JSON.stringify({
      ...fields,
      model: adapter === ""
        ? keeper.engineModelName(model)
        : keeper.engineAdapterName(model, adapter),
      priority: PRIORITY_BY_CLASS[request.requestClass as RequestClass] ?? 0,
    }));
  }
}

const PRIORITY_BY_CLASS: Readonly<Record<RequestClass, number>> = {
  chat: 0,
  service: 0,
  reading: 1,
};

function sequenceId(request: RunRequest): string {
  return formatAttemptKey(fromWireAttempt(request.attempt));
}

function engineFailed(replica: string): Refusal {
  const message = `Engine "${replica}" was lost during the request`;
  return refuse("engine_failed", message, { ran: "unknown" });
}
