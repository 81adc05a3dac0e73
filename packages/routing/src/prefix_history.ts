import { LRUCache } from "lru-cache";

const MAX_REPLICAS_PER_PREFIX = 4;

/** Options of {@link PrefixHistory.create}. */
export interface PrefixHistoryOptions {
  /** Prefix blocks remembered. */
  readonly maxBlocks: number;
}

/**
 * Which replicas lately got which prefix. It stands in for cache events,
 * which come late and with gaps; a wrong guess costs only time.
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

  /** Remembers that a replica got a prompt with these prefixes. */
  record(model: string, prefixes: readonly string[], replica: string): void {
    for (const prefix of prefixes) {
      const key = `${model}/${prefix}`;
      const known = this.#replicas.get(key) ?? [];
      const others = known.filter((name) => name !== replica);
      const next = [replica, ...others].slice(0, MAX_REPLICAS_PER_PREFIX);
      this.#replicas.set(key, next);
    }
  }

  /** Counts the leading blocks that a replica probably holds. */
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
