/** Served tokens of organisations, relative to their weights. */
export class ServedCounters {
  readonly #weightOf: (organisation: string) => number;
  readonly #counters: Map<string, number> = new Map();

  private constructor(weightOf: (organisation: string) => number) {
    this.#weightOf = weightOf;
  }

  /** Creates counters at 0; weights are greater than 0. */
  static create(weightOf: (organisation: string) => number): ServedCounters {
    return new ServedCounters(weightOf);
  }

  /** Served tokens of an organisation, divided by its weight. */
  of(organisation: string): number {
    return this.#counters.get(organisation) ?? 0;
  }

  /** Adds served tokens. */
  charge(organisation: string, tokens: number): void {
    const weight = this.#weightOf(organisation);
    this.#counters.set(organisation, this.of(organisation) + tokens / weight);
  }

  /**
   * Raises an organisation that was idle to the smallest counter of the active
   * ones, so that idle time earns no priority.
   */
  raise(organisation: string, active: Iterable<string>): void {
    let smallest = Infinity;
    for (const other of active) smallest = Math.min(smallest, this.of(other));
    if (smallest === Infinity) return;
    const counter = Math.max(this.of(organisation), smallest);
    this.#counters.set(organisation, counter);
  }
}
