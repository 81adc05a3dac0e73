import type { Clock, LiveInstance } from "@banyanspool/types";

/** Options of {@link LiveInstanceList.create}. */
export interface LiveInstanceListOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Time for which an instance that failed to respond is avoided, in ms. */
  readonly suspicionMs: number;
}

/**
 * The platform's list of instances, which lags, corrected by this daemon's own
 * observations: an instance that failed to respond is avoided for a limited
 * time. A draining instance is avoided until it is no longer listed.
 */
export class LiveInstanceList {
  readonly #options: LiveInstanceListOptions;
  readonly #suspectedUntil: Map<string, number> = new Map();
  readonly #delistedAt: Map<string, number> = new Map();
  #listed: readonly LiveInstance[] = [];

  private constructor(options: LiveInstanceListOptions) {
    this.#options = options;
  }

  /** Creates an empty list. */
  static create(options: LiveInstanceListOptions): LiveInstanceList {
    return new LiveInstanceList(options);
  }

  /** All listed instances. */
  get listed(): readonly LiveInstance[] {
    return this.#listed;
  }

  /** Replaces the list by a newer one from the platform. */
  update(listed: readonly LiveInstance[]): void {
    const names = new Set(listed.map(({ instance }) => instance));
    for (const { instance } of this.#listed) {
      if (names.has(instance)) continue;
      this.#delistedAt.set(instance, this.#options.clock.now());
    }
    for (const name of names) this.#delistedAt.delete(name);
    this.#listed = listed;
  }

  /** Avoids an instance that failed to respond, for `suspicionMs`. */
  suspect(instance: string): void {
    const until = this.#options.clock.now() + this.#options.suspicionMs;
    this.#suspectedUntil.set(instance, until);
  }

  /** Ends the suspicion of an instance that has responded. */
  clearSuspicion(instance: string): void {
    this.#suspectedUntil.delete(instance);
  }

  /** Whether an instance was listed before and is no longer. */
  wasDelisted(instance: string): boolean {
    return this.#delistedAt.has(instance);
  }

  /** Listed instances of a data centre, without draining or suspected ones. */
  usable(dataCentre: string): readonly LiveInstance[] {
    const now = this.#options.clock.now();
    return this.#listed.filter((row) =>
      row.dataCentre === dataCentre && !row.leaving &&
      (this.#suspectedUntil.get(row.instance) ?? 0) <= now
    );
  }

  /** All data centres of the list. */
  get dataCentres(): readonly string[] {
    return [...new Set(this.#listed.map((row) => row.dataCentre))].sort();
  }
}
