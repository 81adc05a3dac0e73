import type { Clock } from "@banyanspool/types";

/** Callers counted as returning for one name; more add nothing to the demand. */
const MAX_RETURNING = 1000;

/**
 * Counts requests that wait for a model or adapter to become available, and
 * callers that were told when to come back for it.
 */
export class WaitingRequestCounts {
  readonly #clock: Clock;
  readonly #waiting: Map<string, number> = new Map();
  /** Times at which callers are due, by name. */
  readonly #returning: Map<string, number[]> = new Map();
  #onFirstWaiting: (() => void) | undefined;

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates empty counts. */
  static create({ clock }: { clock: Clock }): WaitingRequestCounts {
    return new WaitingRequestCounts(clock);
  }

  /** Sets the function called when a first request starts to wait for a name. */
  set onFirstWaiting(listener: () => void) {
    this.#onFirstWaiting = listener;
  }

  /** Number of waiting requests and returning callers by `model` or `model/adapter`. */
  get waiting(): ReadonlyMap<string, number> {
    const counts = new Map(this.#waiting);
    const now = this.#clock.now();
    for (const [name, times] of this.#returning) {
      const due = times.filter((time) => time > now);
      if (due.length === 0) this.#returning.delete(name);
      else this.#returning.set(name, due);
      const count = (counts.get(name) ?? 0) + due.length;
      if (count > 0) counts.set(name, count);
    }
    return counts;
  }

  /** Counts a request as waiting until the returned function is first called. */
  add(name: string): () => void {
    const before = this.#waiting.get(name) ?? 0;
    this.#waiting.set(name, before + 1);
    if (before === 0) this.#onFirstWaiting?.();
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const remaining = (this.#waiting.get(name) ?? 1) - 1;
      if (remaining === 0) this.#waiting.delete(name);
      else this.#waiting.set(name, remaining);
    };
  }

  /** Counts a caller that was told to come back after a time, in ms. */
  expectReturn(name: string, afterMs: number): void {
    const times = this.#returning.get(name) ?? [];
    if (times.length >= MAX_RETURNING) return;
    times.push(this.#clock.now() + afterMs);
    this.#returning.set(name, times);
  }
}
