import type { RequestClass } from "@banyanspool/types";

/** One waiting request. */
export interface QueueItem<T> {
  /** Organisation that pays for it. */
  readonly organisation: string;
  /** Class of the request. */
  readonly requestClass: RequestClass;
  /** Prompt tokens to process. */
  readonly promptTokens: number;
  /** Monotonic time by which the first token is due. */
  readonly dueAt: number;
  /** What waits. */
  readonly value: T;
}

/**
 * Order of service: `fair` serves requests that can still be in time before
 * those that are late already, and among them the organisation with the fewest
 * served tokens by weight, its most urgent request first; `deadline` serves
 * the most urgent request of all; `arrival` serves in order of arrival.
 */
export type QueuePolicy = "fair" | "deadline" | "arrival";

/** Options of {@link FairQueue.create}. */
export interface FairQueueOptions {
  /** Order of service. */
  readonly policy: QueuePolicy;
  /** Weight of an organisation. */
  readonly weightOf: (organisation: string) => number;
}

/**
 * Queue with virtual token counters. Source: Sheng et al., "Fairness in
 * Serving Large Language Models": each organisation's counter grows by its
 * served tokens over its weight, and one that comes back from idleness is
 * lifted to the smallest counter of those that wait or run.
 */
export class FairQueue<T> {
  readonly #options: FairQueueOptions;
  readonly #waiting: Map<string, QueueItem<T>[]> = new Map();
  readonly #served: Map<string, number> = new Map();
  readonly #running: Map<string, number> = new Map();
  #length = 0;
  #tokens = 0;
  #arrivals = 0;
  readonly #arrivalOf: WeakMap<QueueItem<T>, number> = new WeakMap();

  private constructor(options: FairQueueOptions) {
    this.#options = options;
  }

  /** Creates an empty queue. */
  static create<T>(options: FairQueueOptions): FairQueue<T> {
    return new FairQueue<T>(options);
  }

  /** Waiting requests. */
  get length(): number {
    return this.#length;
  }

  /** Prompt tokens of all waiting requests. */
  get tokens(): number {
    return this.#tokens;
  }

  /** Adds a request. */
  push(item: QueueItem<T>): void {
    const waiting = this.#waiting.get(item.organisation) ?? [];
    if (waiting.length === 0) this.#lift(item.organisation);
    waiting.push(item);
    this.#waiting.set(item.organisation, waiting);
    this.#arrivals += 1;
    this.#arrivalOf.set(item, this.#arrivals);
    this.#length += 1;
    this.#tokens += item.promptTokens;
  }

  /** Takes the next request at a monotonic time, if any waits. */
  shift(now: number): QueueItem<T> | undefined {
    const item = this.#findNext(now);
    if (item !== undefined) this.take(item);
    return item;
  }

  /** Takes a request that {@link peek} returned. */
  take(item: QueueItem<T>): void {
    this.remove(item);
    this.charge(item.organisation, item.promptTokens);
    const running = this.#running.get(item.organisation) ?? 0;
    this.#running.set(item.organisation, running + 1);
  }

  /** Looks at the next request without taking it. */
  peek(now: number): QueueItem<T> | undefined {
    return this.#findNext(now);
  }

  /** Removes a request that was given up. Returns whether it waited. */
  remove(item: QueueItem<T>): boolean {
    const waiting = this.#waiting.get(item.organisation) ?? [];
    const index = waiting.indexOf(item);
    if (index === -1) return false;
    waiting.splice(index, 1);
    if (waiting.length === 0) this.#waiting.delete(item.organisation);
    this.#length -= 1;
    this.#tokens -= item.promptTokens;
    return true;
  }

  /** Removes and returns the requests that match. */
  removeWhere(matches: (item: QueueItem<T>) => boolean): QueueItem<T>[] {
    const removed = [...this.#items()].filter(matches);
    for (const item of removed) this.remove(item);
    return removed;
  }

  /** Counts the waiting requests that match. */
  countWhere(matches: (item: QueueItem<T>) => boolean): number {
    let count = 0;
    for (const item of this.#items()) {
      if (matches(item)) count += 1;
    }
    return count;
  }

  /** Counts tokens served to an organisation. */
  charge(organisation: string, tokens: number): void {
    const served = this.#served.get(organisation) ?? 0;
    const weight = this.#options.weightOf(organisation);
    this.#served.set(organisation, served + tokens / weight);
  }

  /** Marks the end of a request that {@link shift} returned. */
  finish(organisation: string): void {
    const running = (this.#running.get(organisation) ?? 1) - 1;
    if (running > 0) this.#running.set(organisation, running);
    else this.#running.delete(organisation);
  }

  /** Prompt tokens that would be served before a request that came now. */
  tokensBefore(organisation: string, dueAt: number): number {
    let ownBefore = 0;
    for (const item of this.#waiting.get(organisation) ?? []) {
      if (item.dueAt <= dueAt) ownBefore += item.promptTokens;
    }
    if (this.#options.policy !== "fair") return this.#tokens;
    const weight = this.#options.weightOf(organisation);
    let others = 0;
    for (const [other, items] of this.#waiting) {
      if (other === organisation) continue;
      const theirs = items.reduce((sum, item) => sum + item.promptTokens, 0);
      const fairPart = ownBefore * this.#options.weightOf(other) / weight;
      others += Math.min(theirs, fairPart + items[0]!.promptTokens);
    }
    return ownBefore + others;
  }

  *#items(): Iterable<QueueItem<T>> {
    for (const items of this.#waiting.values()) yield* items;
  }

  #findNext(now: number): QueueItem<T> | undefined {
    switch (this.#options.policy) {
      case "fair":
        return this.#findFair((item) => item.dueAt > now) ??
          this.#findFair(() => true);
      case "deadline":
        return pickLeast(this.#items(), (item) => item.dueAt);
      case "arrival":
        return pickLeast(this.#items(), (item) => this.#arrivalOf.get(item)!);
    }
  }

  /** The most urgent matching request of the least served organisation. */
  #findFair(
    matches: (item: QueueItem<T>) => boolean,
  ): QueueItem<T> | undefined {
    let best: QueueItem<T> | undefined;
    let least = Infinity;
    for (const [organisation, items] of this.#waiting) {
      const served = this.#served.get(organisation) ?? 0;
      if (served >= least) continue;
      const item = pickLeast(items.filter(matches), ({ dueAt }) => dueAt);
      if (item === undefined) continue;
      least = served;
      best = item;
    }
    return best;
  }

  #lift(organisation: string): void {
    if (this.#running.has(organisation)) return;
    let least = Infinity;
    for (const active of this.#activeOrganisations()) {
      least = Math.min(least, this.#served.get(active) ?? 0);
    }
    if (least === Infinity) return;
    const own = this.#served.get(organisation) ?? 0;
    this.#served.set(organisation, Math.max(own, least));
  }

  #activeOrganisations(): Set<string> {
    return new Set([...this.#waiting.keys(), ...this.#running.keys()]);
  }
}

function pickLeast<T>(
  items: Iterable<T>,
  rank: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let least = Infinity;
  for (const item of items) {
    const value = rank(item);
    if (value >= least) continue;
    least = value;
    best = item;
  }
  return best;
}
