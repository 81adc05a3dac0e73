import type { RequestClass } from "@banyanspool/types";
import { ServedCounters } from "./served_counters.ts";

/** A waiting request. */
export interface QueueItem<T> {
  /** Organisation that the request is charged to. */
  readonly organisation: string;
  /** Class of the request. */
  readonly requestClass: RequestClass;
  /** Prompt tokens to prefill. */
  readonly promptTokens: number;
  /** Monotonic time by which the first token is due. */
  readonly dueAt: number;
  /** The caller's own value for the request. */
  readonly value: T;
}

/**
 * Order of service. `fair` serves requests that are not yet late before those
 * that are; within each group, it serves the organisation with the fewest
 * served tokens relative to its weight, and the earliest deadline of that
 * organisation. `deadline` serves the earliest deadline of all organisations.
 * `arrival` serves in order of arrival.
 */
export type QueuePolicy = "fair" | "deadline" | "arrival";

/** Options of {@link FairQueue.create}. */
export interface FairQueueOptions {
  /** Order of service. */
  readonly policy: QueuePolicy;
  /** Share of an organisation relative to others; greater than 0. */
  readonly weightOf: (organisation: string) => number;
}

/**
 * Queue with virtual token counters. Each organisation's counter grows by its
 * served tokens divided by its weight. When an idle organisation sends a
 * request again, its counter is raised to the smallest counter of those that
 * have waiting or running requests, so idle time earns no priority. Source:
 * Sheng et al., "Fairness in Serving Large Language Models".
 */
export class FairQueue<T> {
  readonly #options: FairQueueOptions;
  readonly #waiting: Map<string, QueueItem<T>[]> = new Map();
  readonly #counters: ServedCounters;
  readonly #running: Map<string, number> = new Map();
  #length = 0;
  #tokens = 0;
  #arrivals = 0;
  readonly #arrivalOf: WeakMap<QueueItem<T>, number> = new WeakMap();

  private constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#counters = ServedCounters.create(options.weightOf);
  }

  /** Creates an empty queue. */
  static create<T>(options: FairQueueOptions): FairQueue<T> {
    return new FairQueue<T>(options);
  }

  /** Number of waiting requests. */
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
    if (waiting.length === 0) this.#raiseCounter(item.organisation);
    waiting.push(item);
    this.#waiting.set(item.organisation, waiting);
    this.#arrivals += 1;
    this.#arrivalOf.set(item, this.#arrivals);
    this.#length += 1;
    this.#tokens += item.promptTokens;
  }

  /**
   * Removes the next request and counts it as running. `now` is the monotonic
   * time. Returns undefined if the queue is empty.
   */
  shift(now: number): QueueItem<T> | undefined {
    const item = this.#findNext(now);
    if (item !== undefined) this.take(item);
    return item;
  }

  /** Removes a request that {@link peek} returned and counts it as running. */
  take(item: QueueItem<T>): void {
    this.remove(item);
    this.charge(item.organisation, item.promptTokens);
    const running = this.#running.get(item.organisation) ?? 0;
    this.#running.set(item.organisation, running + 1);
  }

  /** Returns the next request without removing it. */
  peek(now: number): QueueItem<T> | undefined {
    return this.#findNext(now);
  }

  /** Removes a request without serving it. Returns whether it was waiting. */
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

  /** Adds served tokens to an organisation's counter. */
  charge(organisation: string, tokens: number): void {
    this.#counters.charge(organisation, tokens);
  }

  /** Marks the end of a request that {@link shift} or {@link take} removed. */
  finish(organisation: string): void {
    const running = (this.#running.get(organisation) ?? 1) - 1;
    if (running > 0) this.#running.set(organisation, running);
    else this.#running.delete(organisation);
  }

  /** Estimated prompt tokens served before a request that arrives now. */
  tokensBefore(organisation: string, dueAt: number): number {
    let ownTokens = 0;
    for (const item of this.#waiting.get(organisation) ?? []) {
      if (item.dueAt <= dueAt) ownTokens += item.promptTokens;
    }
    if (this.#options.policy !== "fair") return this.#tokens;
    const weight = this.#options.weightOf(organisation);
    let otherTokens = 0;
    for (const [other, items] of this.#waiting) {
      if (other === organisation) continue;
      const waitingTokens = items.reduce(
        (sum, item) => sum + item.promptTokens,
        0,
      );
      const fairTokens = ownTokens * this.#options.weightOf(other) / weight;
      otherTokens += Math.min(
        waitingTokens,
        fairTokens + items[0]!.promptTokens,
      );
    }
    return ownTokens + otherTokens;
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

  /**
   * Finds the matching request with the earliest deadline, of the organisation
   * with the smallest counter.
   */
  #findFair(
    matches: (item: QueueItem<T>) => boolean,
  ): QueueItem<T> | undefined {
    let best: QueueItem<T> | undefined;
    let smallest = Infinity;
    for (const [organisation, items] of this.#waiting) {
      const counter = this.#counters.of(organisation);
      if (counter >= smallest) continue;
      const item = pickLeast(items.filter(matches), ({ dueAt }) => dueAt);
      if (item === undefined) continue;
      smallest = counter;
      best = item;
    }
    return best;
  }

  #raiseCounter(organisation: string): void {
    if (this.#running.has(organisation)) return;
    this.#counters.raise(organisation, this.#activeOrganisations());
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
  let smallest = Infinity;
  for (const item of items) {
    const value = rank(item);
    if (value >= smallest) continue;
    smallest = value;
    best = item;
  }
  return best;
}
