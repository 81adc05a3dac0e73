import type { Clock } from "@banyanspool/types";

/** Options of {@link ModelLoadLimiter.create}. */
export interface ModelLoadLimiterOptions {
  /** Time source. */
  readonly clock: Clock;
}

/** Part of the weight store's rate that is used. */
const RATE_SHARE = 0.9;
/** Loads that may begin together; the ceiling allows three above the rate. */
const BURST_LOADS = 3;
const MS_PER_S = 1000;

/** Keeps loads from the weight store under its rate, over all replicas. */
export class ModelLoadLimiter {
  readonly #clock: Clock;
  #level = 1;
  #refilledAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Creates an allowance with one load at hand. */
  static create({ clock }: ModelLoadLimiterOptions): ModelLoadLimiter {
    return new ModelLoadLimiter(clock);
  }

  /** Takes one load, if the rate allows it now. */
  tryAcquire(loadsPerS: number): boolean {
    const now = this.#clock.now();
    const elapsedS = (now - this.#refilledAt) / MS_PER_S;
    this.#refilledAt = now;
    this.#level = Math.min(
      BURST_LOADS,
      this.#level + elapsedS * loadsPerS * RATE_SHARE,
    );
    if (this.#level < 1) return false;
    this.#level -= 1;
    return true;
  }
}
