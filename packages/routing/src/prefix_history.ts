import { LRUCache } from "lru-cache";

const MAX_REPLICAS_PER_PREFIX = 4;

/** Options of {@link PrefixHistory.create}. */
export interface PrefixHistoryOptions {
  /** Prefix blocks stored; the least recently used are evicted. */
  readonly maxBlocks: number;
}

/**
 * Records which replicas recently received which prompt prefixes, to estimate
 * what their prefix caches contain. Cache events from the engines would be
 * late and incomplete; a wrong estimate only makes a request slower.
 */
export class PrefixHistory {
  readonly #replicas: LRUCache<string, readonly string[]>;

  private constructor(maxBlocks: number) {
    this.#replicas = new LRUCache({ max: maxBlocks });
  }

  /** Creates an empty history. */
  static create({ maxBlocks }: PrefixHistoryOptions): PrefixHistory {
    return new PrefixHistory(maxBlocks);
  }

  /** Records that a replica received a prompt with these prefixes. */
  record(model: string, prefixes: readonly string[], replica: string): void {
    for (const prefix of prefixes) {
      const key = `${model}/${prefix}`;
      const previous = this.#replicas.get(key) ?? [];
      const others = previous.filter((name) => name !== replica);
      const next = [replica, ...others].slice(0, MAX_REPLICAS_PER_PREFIX);
      this.#replicas.set(key, next);
    }
  }

  /** Counts the leading blocks that a replica has probably cached. */
  countBlocks(
    model: string,
    prefixes: readonly string[],
    replica: string,
  ): number {
    let blocks = 0;
    for (const prefix of prefixes) {
      const replicas = this.#replicas.get(`${model}/${prefix}`);
      if (!replicas?.includes(replica)) break;
      blocks += 1;
    }
    return blocks;
  }
}
