import type { Clock } from "@banyanspool/types";

/**
 * Which permits a request may take: `any`, or only `spare` ones if another
 * replica could serve it as well. The others are reserved for requests that no
 * other replica could serve.
 */
export type PermitClass = "any" | "spare";

/** Whether a permit was issued, and if not, when one may be. */
export type PermitResult =
  | { readonly granted: true }
  | { readonly granted: false; readonly retryInMs: number };

/** The result of a request that gets its permit. */
export const GRANTED: PermitResult = { granted: true };

const MS_PER_S = 1000;
/** Permits that accumulate at most: this many, or those of this time. */
const MIN_CAPACITY = 2;
const CAPACITY_MS = 250;
/** Share of the capacity that is reserved. */
const RESERVED_SHARE = 0.5;

/** A token bucket of permits for one replica. */
export class PermitBucket {
  readonly #clock: Clock;
  #ratePerS = 0;
  #permits = 0;
  #updatedAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /**
   * Creates an empty bucket, as another gateway may have issued the permits of
   * the time before.
   */
  static create({ clock }: { clock: Clock }): PermitBucket {
    return new PermitBucket(clock);
  }

  /** Takes a permit, at a rate that may differ from that of the last call. */
  take(permitClass: PermitClass, ratePerS: number): PermitResult {
    this.#refill(ratePerS);
    const required = permitClass === "any"
      ? 1
      : 1 + RESERVED_SHARE * capacityOf(ratePerS);
    if (this.#permits < required) {
      const missing = required - this.#permits;
      return { granted: false, retryInMs: missing / ratePerS * MS_PER_S };
    }
    this.#permits -= 1;
    return GRANTED;
  }

  #refill(ratePerS: number): void {
    const now = this.#clock.now();
    const elapsedMs = now - this.#updatedAt;
    this.#updatedAt = now;
    this.#permits = Math.min(
      capacityOf(ratePerS),
      this.#permits + elapsedMs * this.#ratePerS / MS_PER_S,
    );
    this.#ratePerS = ratePerS;
  }
}

function capacityOf(ratePerS: number): number {
  return Math.max(MIN_CAPACITY, ratePerS * CAPACITY_MS / MS_PER_S);
}
