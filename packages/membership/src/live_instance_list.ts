import type { Clock, LiveInstance } from "@banyanspool/types";

/** Options of {@link LiveInstanceList.create}. */
export interface LiveInstanceListOptions {
  /** Time source. */
  readonly clock: Clock;
  /** How long a direct failure or goodbye outweighs the list, in ms. */
  readonly suspicionMs: number;
}

/**
 * The platform's lagging list, corrected by what this daemon has itself seen:
 * a peer that failed to answer is avoided for a while, one that said that it
 * is leaving is avoided until the list drops it.
 */
export class LiveInstanceList {
  readonly #options: LiveInstanceListOptions;
  readonly #suspectedUntil: Map<string, number> = new Map();
  readonly #droppedAt: Map<string, number> = new Map();
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

  /** Replaces the list by a newer reading. */
  update(listed: readonly LiveInstance[]): void {
    const names = new Set(listed.map(({ instance }) => instance));
    for (const { instance } of this.#listed) {
      if (names.has(instance)) continue;
      this.#droppedAt.set(instance, this.#options.clock.now());
    }
    for (const name of names) this.#droppedAt.delete(name);
    this.#listed = listed;
  }

  /** Avoids an instance that failed to answer. */
  suspect(instance: string): void {
    const until = this.#options.clock.now() + this.#options.suspicionMs;
    this.#suspectedUntil.set(instance, until);
  }

  /** Trusts an instance again that has answered. */
  clearSuspicion(instance: string): void {
    this.#suspectedUntil.delete(instance);
  }

  /** Whether an instance was listed once and is no longer. */
  wasDelisted(instance: string): boolean {
    return this.#droppedAt.has(instance);
  }

  /** Listed instances of a data centre that are neither leaving nor suspected. */
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
