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
const RESPONSE_RETENTION_MS = 30_000;
const UNREAD_TIMEOUT_MS = 15_000;
const UNREAD_CHECK_INTERVAL_MS = 5000;

/** Options of {@link AttemptManager.create}. */
export interface AttemptManagerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function. */
  readonly sleep: Sleep;
  /** Returns the scheduler of a replica's engine, if this agent has it. */
  readonly findScheduler: (replica: string) => EngineScheduler | undefined;
  /** Base URLs of the plain HTTP services, by name. */
  readonly services: Readonly<Record<string, string>>;
  /** Whether the agent is draining. */
  readonly isDraining: () => boolean;
}

/** An attempt that is queued or running, or whose response is still kept. */
export interface LiveAttempt {
  /** Buffer of the attempt's response. */
  readonly buffer: AttemptBuffer;
  /** Controller that cancels the attempt when it is aborted. */
  readonly stop: AbortController;
  /** Number of streams that read the response now. */
  readers: number;
  /**
   * Monotonic time at which the last reader left, in ms; the creation time
   * before the first.
   */
  unreadSince: number;
}

/**
 * Runs each attempt at most once, and keeps its response for a while after the
 * end so that an entry can resume reading.
 */
export class AttemptManager {
  readonly #options: AttemptManagerOptions;
  readonly #registry: AttemptRegistry = AttemptRegistry.create({
    maxRecords: MAX_RECORDS_PER_ENTRY,
  });
  readonly #attempts: Map<string, LiveAttempt> = new Map();

  private constructor(options: AttemptManagerOptions) {
    this.#options = options;
  }

  /** Creates a manager without attempts. */
  static create(options: AttemptManagerOptions): AttemptManager {
    return new AttemptManager(options);
  }

  /** Number of attempts that have not ended or are still being read. */
  get running(): number {
    let running = 0;
    for (const { buffer, readers } of this.#attempts.values()) {
      if (!buffer.end || readers > 0) running += 1;
    }
    return running;
  }

  /** Returns an attempt unless it is unknown or its response was dropped. */
  find(key: AttemptKey): LiveAttempt | undefined {
    return this.#attempts.get(formatAttemptKey(key));
  }

  /** Begins an attempt and returns it, or returns why it does not run. */
  begin(request: RunRequest): LiveAttempt | Refusal {
    const key = fromWireAttempt(request.attempt);
    const claim = this.#registry.claim(key);
    if (claim === "refused") {
      return refuse(
        "tombstoned",
        "The attempt was abandoned before it arrived",
      );
    }
    if (claim === "duplicate" || claim === "forgotten") {
      return this.find(key) ??
        refuse("outcome_unknown", "The attempt was received twice", {
          ran: "unknown",
        });
    }
    const attempt = this.#createAttempt(key);
    const refusal = this.#start(request, attempt);
    if (!refusal) {
      void this.#watch(key, attempt);
      return attempt;
    }
    this.#registry.refuse(key);
    this.#attempts.delete(formatAttemptKey(key));
    return refusal;
  }

  /**
   * Returns the state of an attempt. An attempt that has not begun is refused
   * from now on, so that "not_run" stays true. "unknown" means that it may have
   * run, but its record or its response was dropped.
   */
  resolveState(key: AttemptKey): "not_run" | "begun" | "finished" | "unknown" {
    switch (this.#registry.refuseUnlessClaimed(key)) {
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

  /** Cancels an attempt. One that has not begun is refused from now on. */
  cancel(key: AttemptKey): void {
    this.#registry.refuseUnlessClaimed(key);
    this.find(key)?.stop.abort();
  }

  #createAttempt(key: AttemptKey): LiveAttempt {
    const attempt: LiveAttempt = {
      buffer: AttemptBuffer.create({ maxUnreadBytes: MAX_UNREAD_BYTES }),
      stop: new AbortController(),
      readers: 0,
      unreadSince: this.#options.clock.now(),
    };
    this.#attempts.set(formatAttemptKey(key), attempt);
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
      return this.#startServiceCall(request, { buffer, signal });
    }
    const scheduler = this.#options.findScheduler(request.replica);
    if (!scheduler) {
      const message = `This agent has no replica "${request.replica}"`;
      return refuse("not_ready", message);
    }
    return scheduler.submit({ request, buffer, signal });
  }

  #startServiceCall(
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

  /**
   * Cancels an attempt that has had no reader for too long, records its end,
   * and drops its response after a while.
   */
  async #watch(key: AttemptKey, attempt: LiveAttempt): Promise<void> {
    const { clock, sleep } = this.#options;
    const { buffer, stop } = attempt;
    while (!buffer.end) {
      await Promise.race([buffer.ended, sleep(UNREAD_CHECK_INTERVAL_MS)]);
      const isUnread = attempt.readers === 0 &&
        clock.now() - attempt.unreadSince >= UNREAD_TIMEOUT_MS;
      if (isUnread) stop.abort();
    }
    const { end } = buffer;
    const hasNotRun = end.kind === "refused" && end.refusal.ran === "no";
    if (hasNotRun) this.#registry.refuse(key);
    else this.#registry.finish(key);
    await sleep(RESPONSE_RETENTION_MS);
    this.#attempts.delete(formatAttemptKey(key));
  }
}
