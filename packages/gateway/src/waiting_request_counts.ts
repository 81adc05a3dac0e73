import type { Clock } from "@banyanspool/types";

/**
 * A model or adapter that a stream waits for at a software version, or a request
 * in its allowed regions.
 */
export interface StreamNeed {
  /** Name, as `model` or `model/adapter`. */
  readonly name: string;
  /** Software version that began the stream; undefined for any. */
  readonly version?: string;
  /** Regions of which one must be the replica's; undefined for any. */
  readonly allowedRegions?: readonly string[];
}

/** Where a waiting request may be served. */
export type NeedPlace = Omit<StreamNeed, "name">;

/** Callers counted as returning for one name; more add nothing to the demand. */
const MAX_RETURNING = 1000;
/** Needs of requests in one report. */
const MAX_REGION_NEEDS = 32;

/**
 * Counts requests that wait for a model or adapter to become available, and
 * callers that were told when to come back for it.
 */
export class WaitingRequestCounts {
  readonly #clock: Clock;
  readonly #waiting: Map<string, number> = new Map();
  /** Times at which callers are due, by name. */
  readonly #returning: Map<string, number[]> = new Map();
  readonly #needs: Set<StreamNeed> = new Set();
  /** Needs of requests, and how many of them wait; the same once for all. */
  readonly #regionNeeds: Map<string, { need: StreamNeed; count: number }> =
    new Map();
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

  /**
   * What cut-off streams wait for now, the same once for each of them, and what
   * requests in their allowed regions do.
   */
  get needs(): readonly StreamNeed[] {
    const ofRequests = [...this.#regionNeeds.values()].map(({ need }) => need);
    return [...this.#needs, ...ofRequests.slice(0, MAX_REGION_NEEDS)];
  }

  /**
   * Counts a request as waiting until the returned function is first called. A
   * version is given for a stream that goes on only there.
   */
  add(name: string, { version, allowedRegions }: NeedPlace = {}): () => void {
    const before = this.#waiting.get(name) ?? 0;
    this.#waiting.set(name, before + 1);
    const need = version === undefined
      ? undefined
      : { name, version, allowedRegions };
    if (need) this.#needs.add(need);
    const regionKey = need || !allowedRegions
      ? undefined
      : JSON.stringify([name, allowedRegions]);
    const isFirst = regionKey !== undefined &&
      this.#countRegionNeed(regionKey, { name, allowedRegions });
    if (before === 0 || need || isFirst) this.#onFirstWaiting?.();
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      if (need) this.#needs.delete(need);
      if (regionKey !== undefined) this.#releaseRegionNeed(regionKey);
      const remaining = (this.#waiting.get(name) ?? 1) - 1;
      if (remaining === 0) this.#waiting.delete(name);
      else this.#waiting.set(name, remaining);
    };
  }

  /** Returns whether no request waited for it before. */
  #countRegionNeed(key: string, need: StreamNeed): boolean {
    const known = this.#regionNeeds.get(key);
    if (known) known.count += 1;
    else this.#regionNeeds.set(key, { need, count: 1 });
    return known === undefined;
  }

  #releaseRegionNeed(key: string): void {
    const known = this.#regionNeeds.get(key);
    if (!known) return;
    known.count -= 1;
    if (known.count === 0) this.#regionNeeds.delete(key);
  }

  /** Counts a caller that was told to come back after a time, in ms. */
  expectReturn(name: string, afterMs: number): void {
    const times = this.#returning.get(name) ?? [];
    if (times.length >= MAX_RETURNING) return;
    times.push(this.#clock.now() + afterMs);
    this.#returning.set(name, times);
  }
}
