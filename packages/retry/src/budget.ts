import type { Random } from "@banyanspool/types";

/** Options of {@link computeBackoffMs}. */
export interface BackoffOptions {
  /** Upper bound of the first wait, in ms; it doubles with each retry. */
  readonly baseMs: number;
  /** Upper bound of every wait, in ms. */
  readonly maxMs: number;
  /** Random numbers for the jitter. */
  readonly random: Random;
}

/**
 * Returns an exponential back-off with full jitter, in ms. `retry` is 0 for
 * the first retry.
 */
export function computeBackoffMs(
  retry: number,
  { baseMs, maxMs, random }: BackoffOptions,
): number {
  return random() * Math.min(maxMs, baseMs * 2 ** retry);
}

/** Options of {@link RetryBudget.create}. */
export interface RetryBudgetOptions {
  /** Retries allowed per request, on average. */
  readonly ratio: number;
  /** Most retries that can accumulate; read anew at each use. */
  readonly burst: () => number;
}

/** Limits retries to a fraction of the requests, with a burst. */
export class RetryBudget {
  readonly #options: RetryBudgetOptions;
  #balance: number;

  private constructor(options: RetryBudgetOptions) {
    this.#options = options;
    this.#balance = options.burst();
  }

  /** Creates a full budget. */
  static create(options: RetryBudgetOptions): RetryBudget {
    return new RetryBudget(options);
  }

  /** Counts a request, which adds `ratio` to the budget. */
  recordRequest(): void {
    const { ratio, burst } = this.#options;
    this.#balance = Math.min(burst(), this.#balance + ratio);
  }

  /** Whether no retry can be taken now. */
  get isSpent(): boolean {
    return Math.min(this.#balance, this.#options.burst()) < 1;
  }

  /** Takes one retry from the budget. Returns false if the budget is spent. */
  take(): boolean {
    if (this.isSpent) return false;
    this.#balance = Math.min(this.#balance, this.#options.burst()) - 1;
    return true;
  }
}
