import type { Clock } from "@banyanspool/types";

/** Options of {@link ModelLoadLimiter.create}. */
export interface ModelLoadLimiterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Present term of the placement lease; if absent, any is a new one. */
  readonly term?: number;
}

/** Share of the weight store's permitted rate that is used. */
const RATE_SHARE = 0.9;
/** Model loads that may start at once; the store permits three above its rate. */
const MAX_BURST_LOADS = 3;
const MS_PER_S = 1000;

/**
 * Token bucket that limits the model loads of all replicas to the permitted
 * rate of the weight store. Only the holder of the placement lease orders
 * loads. What the former holder has used isn't known, so each term begins
 * without tokens, and the burst of two holders is that of one.
 */
export class ModelLoadLimiter {
  readonly #clock: Clock;
  #tokens = 1;
  #refilledAt: number;
  #term: number | undefined;

  private constructor({ clock, term }: ModelLoadLimiterOptions) {
    this.#clock = clock;
    this.#refilledAt = clock.now();
    this.#term = term;
  }

  /** Creates a limiter with one token. */
  static create(options: ModelLoadLimiterOptions): ModelLoadLimiter {
    return new ModelLoadLimiter(options);
  }

  /** Discards all tokens if the term of the placement lease is a new one. */
  followTerm(term: number): void {
    if (term === this.#term) return;
    this.#term = term;
    this.#tokens = 0;
    this.#refilledAt = this.#clock.now();
  }

  /**
   * Takes a token for one model load; returns false if there is none now. Loads
   * of a service without a limit, whose rate is infinite, need none.
   */
  tryAcquire(loadsPerS: number): boolean {
    if (loadsPerS === Infinity) return true;
    const now = this.#clock.now();
    const elapsedS = (now - this.#refilledAt) / MS_PER_S;
    this.#refilledAt = now;
    this.#tokens = Math.min(
      MAX_BURST_LOADS,
      this.#tokens + elapsedS * loadsPerS * RATE_SHARE,
    );
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}
