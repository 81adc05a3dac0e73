import type { Clock } from "@banyanspool/types";

/** An announcement of the lease holder counts for this long, in ms. */
const MAX_AGE_MS = 1500;

/**
 * Models that the placement lease holder has announced as being loaded, so that
 * a gateway can tell at once which requests have to come back.
 */
export class ExpectedModels {
  readonly #clock: Clock;
  #readyAt: ReadonlyMap<string, number> = new Map();
  #announcedAt = -Infinity;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a list without an announcement. */
  static create({ clock }: { clock: Clock }): ExpectedModels {
    return new ExpectedModels(clock);
  }

  /** Replaces the announcement: remaining time by model, in ms. */
  update(readyInMs: ReadonlyMap<string, number>): void {
    const now = this.#clock.now();
    this.#announcedAt = now;
    this.#readyAt = new Map(
      [...readyInMs].map(([model, ms]) => [model, now + ms]),
    );
  }

  /**
   * Returns the monotonic time at which a model is expected, in ms; undefined if
   * no load of it was announced lately.
   */
  readyAt(model: string): number | undefined {
    if (this.#clock.now() - this.#announcedAt > MAX_AGE_MS) return undefined;
    return this.#readyAt.get(model);
  }
}
