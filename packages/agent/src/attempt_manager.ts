import {
  type AttemptKey,
  type Clock,
  formatAttemptKey,
  type Refusal,
  refuse,
  type Sleep,
} from "@banyanspool/types";
import { AttemptRegistry } from "@banyanspool/retry";
import { fromWireAttempt, type RunRequest } from "@banyanspool/wire";
import { AttemptBuffer } from "./attempt_buffer.ts";
import type { EngineScheduler } from "./engine_scheduler.ts";
import { runServiceCall } from "./service_call.ts";

const MAX_RECORDS_PER_ENTRY = 20_000;
const MAX_UNREAD_BYTES = 256 * 1024;
const FORGET_AFTER_MS = 30_000;
const UNREAD_LIMIT_MS = 15_000;
const UNREAD_CHECK_MS = 5000;

/** Options of {@link AttemptManager.create}. */
export interface AttemptManagerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Runner of a replica's engine. */
  readonly findScheduler: (replica: string) => EngineScheduler | undefined;
  /** Base URLs of the plain services. */
  readonly services: Readonly<Record<string, string>>;
  /** Whether a planned stop has begun. */
  readonly isDraining: () => boolean;
}

/** An attempt that runs or has ended lately. */
export interface LiveAttempt {
  /** Its answer. */
  readonly buffer: AttemptBuffer;
  /** Stops it. */
  readonly stop: AbortController;
  /** Streams that read the answer now. */
  readers: number;
  /** When the last reader left, by the monotonic clock. */
  unreadSince: number;
}

/** Runs each attempt at most once and keeps its answer for a while. */
export class AttemptManager {
  readonly #options: AttemptManagerOptions;
  readonly #log: AttemptRegistry = AttemptRegistry.create({
    maxRecords: MAX_RECORDS_PER_ENTRY,
  });
  readonly #live: Map<string, LiveAttempt> = new Map();

  private constructor(options: AttemptManagerOptions) {
    this.#options = options;
  }

  /** Creates an empty record. */
  static create(options: AttemptManagerOptions): AttemptManager {
    return new AttemptManager(options);
  }

  /** Attempts that have not ended or are still being read. */
  get running(): number {
    let running = 0;
    for (const { buffer, readers } of this.#live.values()) {
      if (!buffer.end || readers > 0) running += 1;
    }
    return running;
  }

  /** An attempt that runs or has ended lately. */
  find(key: AttemptKey): LiveAttempt | undefined {
    return this.#live.get(formatAttemptKey(key));
  }

  /** Begins an attempt, or returns why it does not run. */
  begin(request: RunRequest): LiveAttempt | Refusal {
    const key = fromWireAttempt(request.attempt);
    const claim = this.#log.claim(key);
    if (claim === "refused") {
      return refuse("tombstoned", "The attempt was given up before it arrived");
    }
    if (claim === "duplicate" || claim === "forgotten") {
      return this.find(key) ??
        refuse("outcome_unknown", "The attempt came twice", { ran: "unknown" });
    }
    const attempt = this.#createAttempt(key);
    const refusal = this.#start(request, attempt);
    if (!refusal) {
      void this.#watch(key, attempt);
      return attempt;
    }
    this.#log.refuse(key);
    this.#live.delete(formatAttemptKey(key));
    return refusal;
  }

  /** What became of an attempt; one that has not begun never will. */
  resolveState(key: AttemptKey): "not_run" | "begun" | "finished" | "unknown" {
    switch (this.#log.refuseUnlessClaimed(key)) {
      case "refused":
        return "not_run";
      case "begun":
        return this.find(key) ? "begun" : "unknown";
      case "finished":
        return this.find(key) ? "finished" : "unknown";
      case undefined:
        return "unknown";
    }
  }

  /** Stops an attempt; one that has not begun never will. */
  cancel(key: AttemptKey): void {
    this.#log.refuseUnlessClaimed(key);
    this.find(key)?.stop.abort();
  }

  #createAttempt(key: AttemptKey): LiveAttempt {
    const attempt: LiveAttempt = {
      buffer: AttemptBuffer.create({ maxUnreadBytes: MAX_UNREAD_BYTES }),
      stop: new AbortController(),
      readers: 0,
      unreadSince: this.#options.clock.now(),
    };
    this.#live.set(formatAttemptKey(key), attempt);
    return attempt;
  }

  #start(request: RunRequest, attempt: LiveAttempt): Refusal | undefined {
    const { buffer, stop } = attempt;
    const signal = AbortSignal.any([
      stop.signal,
      AbortSignal.timeout(request.finishWithinMs),
    ]);
    signal.addEventListener("abort", () => buffer.wakeWaiters(), {
      once: true,
    });
    if (request.model === "") {
      return this.#startCall(request, { buffer, signal });
    }
    const runner = this.#options.findScheduler(request.replica);
    if (!runner) {
      const message = `This agent has no replica "${request.replica}"`;
      return refuse("not_ready", message);
    }
    return runner.submit({ request, buffer, signal });
  }

  #startCall(
    request: RunRequest,
    { buffer, signal }: { buffer: AttemptBuffer; signal: AbortSignal },
  ): Refusal | undefined {
    const url = this.#options.services[request.adapter];
    if (this.#options.isDraining()) {
      return refuse("draining", "This agent is shutting down");
    }
    if (url === undefined) {
      const message = `This agent has no service "${request.adapter}"`;
      return refuse("not_ready", message);
    }
    void runServiceCall({ url, request, buffer, signal });
    return undefined;
  }

  /** Cancels an attempt that nobody reads, and forgets it after its end. */
  async #watch(key: AttemptKey, attempt: LiveAttempt): Promise<void> {
    const { clock, sleep } = this.#options;
    const { buffer, stop } = attempt;
    while (!buffer.end) {
      await Promise.race([buffer.ended, sleep(UNREAD_CHECK_MS)]);
      const isUnread = attempt.readers === 0 &&
        clock.now() - attempt.unreadSince >= UNREAD_LIMIT_MS;
      if (isUnread) stop.abort();
    }
    const { end } = buffer;
    const isRefused = end.kind === "refused" && end.refusal.ran === "no";
    if (isRefused) this.#log.refuse(key);
    else this.#log.finish(key);
    await sleep(FORGET_AFTER_MS);
    this.#live.delete(formatAttemptKey(key));
  }
}
