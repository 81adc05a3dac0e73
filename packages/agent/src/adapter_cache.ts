import type { Clock } from "@banyanspool/types";
import type { MemoryLedger } from "@banyanspool/ledger";

/** Options of {@link AdapterCache.create}. */
export interface AdapterCacheOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Ledger of the engine. */
  readonly ledger: () => MemoryLedger;
  /** Memory that models and adapters may take before idle ones give way. */
  readonly maxWeightsMib: number;
}

interface Use {
  holds: number;
  lastAt: number;
}

/** Which adapters of an engine are in use, and which one to unload next. */
export class AdapterCache {
  readonly #options: AdapterCacheOptions;
  readonly #uses: Map<string, Use> = new Map();
  readonly #unloading: Set<string> = new Set();

  private constructor(options: AdapterCacheOptions) {
    this.#options = options;
  }

  /** Creates a cache without uses. */
  static create(options: AdapterCacheOptions): AdapterCache {
    return new AdapterCache(options);
  }

  /** Whether requests may be sent to an adapter. */
  isUsable(name: string): boolean {
    return !this.#unloading.has(name) &&
      this.#options.ledger().isListedReady(name);
  }

  /** Keeps an adapter from being unloaded. */
  acquire(name: string): void {
    const use = this.#useOf(name);
    use.holds += 1;
    use.lastAt = this.#options.clock.now();
  }

  /** Ends a hold. */
  release(name: string): void {
    const use = this.#useOf(name);
    use.holds = Math.max(0, use.holds - 1);
    use.lastAt = this.#options.clock.now();
  }

  /** Idle adapters to unload before one of a size is loaded, oldest first. */
  chooseEvictions(mib: number): string[] {
    const { ledger, maxWeightsMib } = this.#options;
    let excessMib = ledger().weightsMib + mib - maxWeightsMib;
    if (excessMib <= 0) return [];
    const idle = ledger().listItems()
      .filter(({ name }) => name.includes("/") && this.isUsable(name))
      .map((item) => ({ ...item, use: this.#useOf(item.name) }))
      .filter(({ use }) => use.holds === 0)
      .sort((a, b) => a.use.lastAt - b.use.lastAt);
    const chosen: string[] = [];
    for (const { name, mib: freedMib } of idle) {
      if (excessMib <= 0) break;
      excessMib -= freedMib;
      chosen.push(name);
    }
    return chosen;
  }

  /** Marks an adapter that is being unloaded. */
  beginUnload(name: string): void {
    this.#unloading.add(name);
  }

  /** Ends an unload. */
  endUnload(name: string): void {
    this.#unloading.delete(name);
  }

  #useOf(name: string): Use {
    const known = this.#uses.get(name);
    if (known) return known;
    const use = { holds: 0, lastAt: -Infinity };
    this.#uses.set(name, use);
    return use;
  }
}
