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
const MAX_CONCURRENT_ADAPTER_LOADS = 8;
const MAX_RESUMES = 4;
const RETRY_DELAY_MS = 200;
const DEFAULT_PREFILL_TOKENS_PER_S = 8000;
const DEFAULT_DECODE_US_PER_TOKEN = 30_000;
const MIN_RETRY_AFTER_MS = 250;
const MS_PER_S = 1000;
const US_PER_MS = 1000;

const log = createLog("agent:runner");

/** Options of {@link EngineScheduler.create}. */
export interface EngineSchedulerOptions {
  /** Manager of the engine's models and memory. */
  readonly engineManager: EngineManager;
  /** Client of the engine. */
  readonly client: EngineApi;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function. */
  readonly sleep: Sleep;
  /** Number of sequences that the engine runs at a time. */
  readonly slots: number;
  /** Order in which queued requests are served. */
  readonly queuePolicy: QueuePolicy;
  /** Weight of an organisation in the fair queue. */
  readonly weightOf: (organisation: string) => number;
}

/** One attempt to run a request at an engine. */
export interface EngineJob {
  /** Request as received from the entry. */
  readonly request: RunRequest;
  /** Buffer that receives the response. */
  readonly buffer: AttemptBuffer;
  /** Aborted when the attempt is cancelled. */
  readonly signal: AbortSignal;
}

interface QueuedJob extends EngineJob {
  readonly giveUpAt: number;
  readonly kvMib: number;
}

/**
 * Schedules the requests of one engine: admits those that can be served in
 * time, queues them fairly, and dispatches as many as the engine's slots and
 * memory allow.
 */
export class EngineScheduler {
  readonly #options: EngineSchedulerOptions;
  readonly #queue: FairQueue<QueuedJob>;
  readonly #runningModels: Map<string, string> = new Map();
  #adapterLoads = 0;
  #isDraining = false;

  private constructor(options: EngineSchedulerOptions) {
    this.#options = options;
    const { queuePolicy: policy, weightOf } = options;
    this.#queue = FairQueue.create({ policy, weightOf });
  }

  /** Creates a scheduler with an empty queue. */
  static create(options: EngineSchedulerOptions): EngineScheduler {
    return new EngineScheduler(options);
  }

  /** Prompt tokens of all queued requests. */
  get queuedTokens(): number {
    return this.#queue.tokens;
  }

  /** Number of queued requests. */
  get queueLength(): number {
    return this.#queue.length;
  }

  /** Number of requests that have been dispatched and have not ended. */
  get running(): number {
    return this.#runningModels.size;
  }

  /** Number of queued and running requests of a model. */
  countActive(model: string): number {
    let active = 0;
    for (const running of this.#runningModels.values()) {
      if (running === model) active += 1;
    }
    return active + this.#countQueued(model);
  }

  /** Begins to drain: refuses new requests from now on. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Queues a request, or returns a refusal; a refused request has not run. */
  submit(job: EngineJob): Refusal | undefined {
    const { engineManager, clock } = this.#options;
    const { request } = job;
    const { replica } = engineManager;
    if (this.#isDraining) {
      return refuse("draining", `Replica "${replica}" is shutting down`);
    }
    if (!engineManager.isReady(request.model)) {
      const message =
        `Replica "${replica}" can't serve model "${request.model}"`;
      return refuse("not_ready", message);
    }
    const waitMs = this.#predictWaitMs(request);
    if (waitMs > request.giveUpAfterMs) {
      const message = `Replica "${replica}" predicts a wait of ${
        Math.ceil(waitMs)
      } ms`;
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
        kvMib: engineManager.kvMibOf(request.model, tokens),
      },
    });
    this.#dispatch();
    return undefined;
  }

  /**
   * Dispatches queued requests and refuses those that have waited too long,
   * until the signal is aborted.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.#dispatch();
      const isIdle = this.#queue.length === 0;
      const intervalMs = isIdle ? IDLE_INTERVAL_MS : DISPATCH_INTERVAL_MS;
      await this.#options.sleep(intervalMs, signal);
    }
  }

  #countQueued(model: string): number {
    return this.#queue.countWhere(({ value }) => value.request.model === model);
  }

  #predictWaitMs(request: RunRequest): number {
    const { engineManager, slots } = this.#options;
    const prefillTokensPerS = engineManager.load?.prefill_tokens_per_s ??
      DEFAULT_PREFILL_TOKENS_PER_S;
    const dueAt = this.#options.clock.now() + request.firstTokenWithinMs;
    const tokensAhead = this.#queue.tokensBefore(request.organisation, dueAt);
    const prefillMs = tokensAhead / prefillTokensPerS * MS_PER_S;
    const excessSequences = this.#runningModels.size + this.#queue.length + 1 -
      slots;
    if (excessSequences <= 0) return prefillMs;
    const decodeUs = engineManager.load?.decode_us_per_token ??
      DEFAULT_DECODE_US_PER_TOKEN;
    const sequenceMs = request.maxTokens * decodeUs / US_PER_MS;
    return Math.max(prefillMs, excessSequences * sequenceMs / slots);
  }

  #dispatch(): void {
    const now = this.#options.clock.now();
    this.#refuseExpired();
    while (this.#runningModels.size < this.#options.slots) {
      const next = this.#queue.peek(now);
      if (next === undefined) return;
      const id = toSequenceId(next.value.request);
      if (!this.#options.engineManager.ledger.reserveKv(id, next.value.kvMib)) {
        return;
      }
      this.#queue.take(next);
      this.#runningModels.set(id, next.value.request.model);
      void this.#serve(id, next);
    }
  }

  #refuseExpired(): void {
    const now = this.#options.clock.now();
    const expired = this.#queue.removeWhere(({ value }) =>
      value.signal.aborted || value.giveUpAt <= now
    );
    for (const { value } of expired) {
      const code = value.signal.aborted ? "cancelled" : "overloaded";
      const message = value.signal.aborted
        ? "The request was cancelled while it was queued"
        : `Replica "${this.#options.engineManager.replica}" had no free slot in time`;
      const retryAfterMs = value.signal.aborted ? undefined : MS_PER_S;
      const refusal = refuse(code, message, { retryAfterMs });
      value.buffer.finish({ kind: "refused", refusal });
    }
  }

  async #serve(id: string, item: QueueItem<QueuedJob>): Promise<void> {
    const { engineManager } = this.#options;
    const { request, buffer } = item.value;
    const { model, adapter } = request;
    let hasEnded = true;
    if (adapter !== "") engineManager.acquireAdapter(model, adapter);
    try {
      const refusal = await this.#ensureAdapter(item.value);
      if (refusal) {
        buffer.finish({ kind: "refused", refusal });
        return;
      }
      hasEnded = await this.#generate(id, item.value);
    } catch (error) {
      hasEnded = false;
      log(`Sequence ${id} failed: ${String(error)}`);
      buffer.finish({
        kind: "refused",
        refusal: engineFailedRefusal(engineManager.replica),
      });
    } finally {
      if (adapter !== "") engineManager.releaseAdapter(model, adapter);
      this.#runningModels.delete(id);
      this.#queue.finish(request.organisation);
      // If the sequence may still run, its KV cache stays reserved until an
      // inventory no longer lists the sequence.
      if (hasEnded) engineManager.ledger.releaseKv(id);
      else void this.#releaseKvOnceGone(id);
      this.#dispatch();
    }
  }

  /**
   * Loads the request's adapter if needed. Concurrent adapter loads are limited
   * to stay below the point at which they slow each other down.
   */
  async #ensureAdapter(job: QueuedJob): Promise<Refusal | undefined> {
    const { engineManager, sleep } = this.#options;
    const { model, adapter, giveUpAfterMs } = job.request;
    if (adapter === "" || engineManager.isAdapterReady(model, adapter)) {
      return undefined;
    }
    while (
      this.#adapterLoads >= MAX_CONCURRENT_ADAPTER_LOADS && !job.signal.aborted
    ) {
      await sleep(DISPATCH_INTERVAL_MS);
    }
    this.#adapterLoads += 1;
    try {
      const timeoutMs = Math.max(giveUpAfterMs, MS_PER_S);
      const isReady = await engineManager.loadAdapter(
        model,
        adapter,
        timeoutMs,
      );
      if (isReady) return undefined;
      const message =
        `Replica "${engineManager.replica}" could not load adapter "${adapter}"`;
      return refuse("not_ready", message);
    } finally {
      this.#adapterLoads -= 1;
    }
  }

  /**
   * Runs a sequence, and resumes its stream if the connection is lost. Returns
   * whether the sequence has certainly ended at the engine.
   */
  async #generate(id: string, job: QueuedJob): Promise<boolean> {
    const { client, engineManager } = this.#options;
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
      const message = `Engine "${engineManager.replica}" can't be reached`;
      const refusal = refuse("engine_failed", message);
      buffer.finish({ kind: "refused", refusal });
      return true;
    }
    let stream = opened.ok ? opened.value : undefined;
    for (let resumes = 0; resumes <= MAX_RESUMES; resumes += 1) {
      if (stream && stream.status !== 200) {
        return await this.#finishRejected(job, stream);
      }
      const end = stream && await this.#copyResponse(stream, job);
      if (end === "whole") return true;
      if (signal.aborted) break;
      stream = await this.#resume(id, job);
      if (stream === undefined) break;
    }
    return await this.#cancelSequence(id, job);
  }

  async #copyResponse(stream: EngineStream, job: QueuedJob): Promise<string> {
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

  async #resume(id: string, job: QueuedJob): Promise<EngineStream | undefined> {
    const { client, sleep } = this.#options;
    const { buffer, signal } = job;
    await sleep(RETRY_DELAY_MS, signal).catch(() => {});
    const offset = buffer.length;
    log(`Sequence ${id} resumes at offset ${offset}`);
    const res = await client.resume({ id, offset, signal });
    return res.ok && res.value.status === 200 ? res.value : undefined;
  }

  async #cancelSequence(
    id: string,
    { buffer, signal }: QueuedJob,
  ): Promise<boolean> {
    const { client, engineManager } = this.#options;
    const cancelled = await client.cancel(id);
    const refusal = signal.aborted
      ? refuse("cancelled", "The request was cancelled", { ran: "unknown" })
      : engineFailedRefusal(engineManager.replica);
    buffer.finish({ kind: "refused", refusal });
    return cancelled.ok;
  }

  async #finishRejected(
    job: QueuedJob,
    stream: EngineStream,
  ): Promise<boolean> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of stream.chunks) chunks.push(chunk);
    const detail = Buffer.concat(chunks).toString("utf8").slice(0, 200);
    const { replica } = this.#options.engineManager;
    const message = `Engine "${replica}" rejected the request: ${detail}`;
    const code = stream.status === 404 || stream.status === 503
      ? "not_ready"
      : "bad_request";
    job.buffer.finish({ kind: "refused", refusal: refuse(code, message) });
    return true;
  }

  /**
   * Repeats the cancellation of a sequence until an inventory no longer lists
   * the sequence, and only then releases its KV cache.
   */
  async #releaseKvOnceGone(id: string): Promise<void> {
    const { engineManager, clock, sleep, client } = this.#options;
    const startedAt = clock.now();
    while (true) {
      const inventoryRequestedAt = engineManager.ledger.inventoryAskedAt ??
        -Infinity;
      if (
        inventoryRequestedAt > startedAt && !engineManager.ledger.isRunning(id)
      ) break;
      await client.cancel(id);
      await sleep(RETRY_DELAY_MS);
    }
    engineManager.ledger.releaseKv(id);
  }

  #createBody(request: RunRequest): Uint8Array {
    const fields = JSON.parse(Buffer.from(request.body).toString("utf8"));
    const { engineManager } = this.#options;
    const { model, adapter } = request;
    return Buffer.from(JSON.stringify({
      ...fields,
      model: adapter === ""
        ? engineManager.engineModelName(model)
        : engineManager.engineAdapterName(model, adapter),
      priority: PRIORITY_BY_CLASS[request.requestClass as RequestClass] ?? 0,
    }));
  }
}

const PRIORITY_BY_CLASS: Readonly<Record<RequestClass, number>> = {
  chat: 0,
  service: 0,
  reading: 1,
};

function toSequenceId(request: RunRequest): string {
  return formatAttemptKey(fromWireAttempt(request.attempt));
}

function engineFailedRefusal(replica: string): Refusal {
  const message = `Connection to engine "${replica}" was lost mid-request`;
  return refuse("engine_failed", message, { ran: "unknown" });
}
