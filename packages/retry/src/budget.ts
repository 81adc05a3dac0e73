import type { Random } from "@banyanspool/types";

/** Options of {@link computeBackoffMs}. */
export interface BackoffOptions {
  /** Longest first wait, in ms. */
  readonly baseMs: number;
  /** Longest wait of all, in ms. */
  readonly maxMs: number;
  /** Source of the jitter. */
  readonly random: Random;
}

/** Draws a wait with full jitter for the n-th retry, from 0. */
export function computeBackoffMs(
  retry: number,
  { baseMs, maxMs, random }: BackoffOptions,
): number {
  return random() * Math.min(maxMs, baseMs * 2 ** retry);
}

/** Options of {@link RetryBudget.create}. */
export interface RetryBudgetOptions {
  /** Retries allowed for each request, on average. */
  readonly ratio: number;
  /** Most retries that can be saved up, now. */
  readonly burst: () => number;
}

/** Bounds retries to a fraction of the requests. */
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

  /** Counts a first attempt. */
  recordRequest(): void {
    const { ratio, burst } = this.#options;
    this.#balance = Math.min(burst(), this.#balance + ratio);
  }

  /** Takes one retry out of the budget; false if it is spent. */
  take(): boolean {
    this.#balance = Math.min(this.#balance, this.#options.burst());
    if (this.#balance < 1) return false;
    this.#balance -= 1;
    return true;
  }
}
