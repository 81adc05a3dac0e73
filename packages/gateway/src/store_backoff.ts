import type { Random } from "@banyanspool/types";

const FIRST_DELAY_MS = 300;
const MAX_DELAY_MS = 1200;
const FACTOR = 2;
/** Share of each delay that is random. */
const JITTER_SHARE = 0.5;

/**
 * Delays between failed calls to the store. They grow, so that many gateways
 * that are turned away don't spend the store's rate, and are jittered, so that
 * they don't return together.
 */
export class StoreBackoff {
  readonly #random: Random;
  #nextMs = FIRST_DELAY_MS;

  private constructor(random: Random) {
    this.#random = random;
  }

  /** Creates a backoff that starts with the shortest delay. */
  static create({ random }: { random: Random }): StoreBackoff {
    return new StoreBackoff(random);
  }

  /** Returns the delay after a failed call, in ms. */
  nextDelayMs(): number {
    const delayMs = this.#nextMs;
    this.#nextMs = Math.min(MAX_DELAY_MS, delayMs * FACTOR);
    return delayMs * (1 - JITTER_SHARE * this.#random());
  }

  /** Starts again with the shortest delay after a successful call. */
  reset(): void {
    this.#nextMs = FIRST_DELAY_MS;
  }
}
