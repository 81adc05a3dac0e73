import type { Clock } from "@banyanspool/types";
import type { MemoryLedger } from "@banyanspool/ledger";

/** Options of {@link AdapterCache.create}. */
export interface AdapterCacheOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Returns the memory ledger of the engine. */
  readonly ledger: () => MemoryLedger;
  /** Memory that models and adapters may take before idle ones are evicted. */
  readonly maxWeightsMib: number;
}

interface AdapterUsage {
  useCount: number;
  lastUsedAt: number;
}

/** Tracks which adapters of an engine are in use, and selects some to evict. */
export class AdapterCache {
  readonly #options: AdapterCacheOptions;
  readonly #usages: Map<string, AdapterUsage> = new Map();
  readonly #unloading: Set<string> = new Set();

  private constructor(options: AdapterCacheOptions) {
    this.#options = options;
  }

  /** Creates a cache in which no adapter is in use. */
  static create(options: AdapterCacheOptions): AdapterCache {
    return new AdapterCache(options);
  }

  /** Whether requests may be sent to an adapter. */
  isUsable(name: string): boolean {
    return !this.#unloading.has(name) &&
      this.#options.ledger().isListedReady(name);
  }

  /** Begins a use, which prevents the adapter's eviction until its release. */
  acquire(name: string): void {
    const use = this.#usageOf(name);
    use.useCount += 1;
    use.lastUsedAt = this.#options.clock.now();
  }

  /** Ends a use. */
  release(name: string): void {
    const use = this.#usageOf(name);
    use.useCount = Math.max(0, use.useCount - 1);
    use.lastUsedAt = this.#options.clock.now();
  }

  /**
   * Chooses idle adapters to unload before one of the given size is loaded,
   * least recently used first.
   */
  chooseEvictions(mib: number): string[] {
    const { ledger, maxWeightsMib } = this.#options;
    let excessMib = ledger().weightsMib + mib - maxWeightsMib;
    if (excessMib <= 0) return [];
    const idle = ledger().listItems()
      .filter(({ name }) => name.includes("/") && this.isUsable(name))
      .map((item) => ({ ...item, use: this.#usageOf(item.name) }))
      .filter(({ use }) => use.useCount === 0)
      .sort((a, b) => a.use.lastUsedAt - b.use.lastUsedAt);
    const chosen: string[] = [];
    for (const { name, mib: freedMib } of idle) {
      if (excessMib <= 0) break;
      excessMib -= freedMib;
      chosen.push(name);
    }
    return chosen;
  }

  /** Marks an adapter as being unloaded, so that it is not used. */
  beginUnload(name: string): void {
    this.#unloading.add(name);
  }

  /** Ends an unload that {@link beginUnload} began. */
  endUnload(name: string): void {
    this.#unloading.delete(name);
  }

  #usageOf(name: string): AdapterUsage {
    const known = this.#usages.get(name);
    if (known) return known;
    const use = { useCount: 0, lastUsedAt: -Infinity };
    this.#usages.set(name, use);
    return use;
  }
}
