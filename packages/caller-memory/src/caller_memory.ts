import {
  type Connection,
  type Group,
  type Holding,
  type HoldingOptions,
  OpenHolding,
} from "./open_holding.ts";
import { RankedSet } from "./ranked_set.ts";

/** Options of {@link CallerMemory.create}. */
export interface CallerMemoryOptions {
  /** Bytes that may be held for all callers together. */
  readonly totalBytes: number;
  /**
   * Bytes up to which one holding may grow although memory is short, so that a
   * single request always gets through.
   */
  readonly reserveBytes: number;
  /** Called for each comparison of what is held, to count the work. */
  readonly onCompare?: () => void;
}

/** Share of the budget above which readers wait. */
const WAIT_SHARE = 0.75;

/**
 * Counts the bytes that a process holds for its callers. Above three quarters of
 * the budget holdings that grow have to wait, and above all of it holdings are
 * evicted at once.
 */
export class CallerMemory {
  readonly #options: CallerMemoryOptions;
  readonly #waitBytes: number;
  #used = 0;
  readonly #groups: Map<string, Group> = new Map();
  /** Groups with holdings that may be evicted. */
  readonly #evictable: RankedSet<Group>;
  #opened = 0;
  /** Holdings that wait, in order. */
  readonly #waiting: Set<OpenHolding> = new Set();
  /** The one holding that may grow although memory is short. */
  #reserveHolder: OpenHolding | undefined;

  private constructor(options: CallerMemoryOptions) {
    this.#options = options;
    this.#waitBytes = options.totalBytes * WAIT_SHARE;
    this.#evictable = RankedSet.create(options.onCompare);
  }

  /** Creates an unused budget. */
  static create(options: CallerMemoryOptions): CallerMemory {
    return new CallerMemory(options);
  }

  /** Bytes that are held for all callers together. */
  get usedBytes(): number {
    return this.#used;
  }

  /** Number of holdings that wait. */
  get waitingCount(): number {
    return this.#waiting.size;
  }

  /** Number of open holdings. */
  get holdingCount(): number {
    let count = 0;
    for (const group of this.#groups.values()) count += group.holdingCount;
    return count;
  }

  /** Opens a holding, which may be evicted at once if memory is short. */
  open(options: HoldingOptions): Holding {
    const group = this.#groupOf(options.group);
    const connection = this.#connectionOf(group, options.connection);
    const holding: OpenHolding = new OpenHolding(
      { options, group, connection, order: this.#nextOrder() },
      {
        add: (bytes) => this.#add(holding, bytes),
        count: (bytes) => this.#countOnly(holding, bytes),
        remove: (bytes) => this.#remove(holding, bytes),
        keep: () => this.#protect(holding),
        unkeep: () => this.#unprotect(holding),
        close: () => this.#close(holding),
      },
    );
    group.holdingCount += 1;
    connection.holdingCount += 1;
    this.#count(holding, options.bytes ?? 0);
    this.#evictExcess();
    return holding;
  }

  /**
   * Evicts a holding in favour of those that wait: the largest of the connection
   * that holds most in the group that holds most, or an empty one that waits.
   * Called when the first of them has waited long enough. Returns false if none
   * can be evicted.
   */
  evictOne(): boolean {
    const group = this.#evictable.first;
    const victim = group?.evictable.first?.holdings.first;
    if (!victim) return false;
    this.#close(victim);
    victim.options.onEvict();
    return true;
  }

  #add(holding: OpenHolding, bytes: number): boolean {
    this.#count(holding, bytes);
    this.#evictExcess();
    if (holding.isClosed) return false;
    if (this.#mayGrow(holding)) return true;
    this.#waiting.add(holding);
    return false;
  }

  #countOnly(holding: OpenHolding, bytes: number): boolean {
    this.#count(holding, bytes);
    this.#evictExcess();
    return !holding.isClosed && this.#used <= this.#waitBytes;
  }

  #evictExcess(): void {
    while (this.#used > this.#options.totalBytes) {
      if (!this.evictOne()) break;
    }
  }

  #remove(holding: OpenHolding, bytes: number): void {
    this.#count(holding, -Math.min(bytes, holding.bytes));
    this.#wakeWaiting();
  }

  #close(holding: OpenHolding): void {
    if (holding.isClosed) return;
    this.#count(holding, -holding.bytes);
    holding.isClosed = true;
    this.#protect(holding);
    const { group, connection } = holding;
    connection.holdingCount -= 1;
    if (connection.holdingCount === 0) group.connections.delete(connection.key);
    group.holdingCount -= 1;
    if (group.holdingCount === 0) this.#groups.delete(group.name);
    this.#waiting.delete(holding);
    if (this.#reserveHolder === holding) this.#reserveHolder = undefined;
    this.#wakeWaiting();
  }

  #count(holding: OpenHolding, bytes: number): void {
    const { group, connection } = holding;
    this.#used += bytes;
    const groupBytes = group.bytes + bytes;
    if (holding.isProtected) {
      holding.bytes += bytes;
    } else {
      connection.holdings.rank(holding, holding.bytes + bytes);
      group.evictable.rank(connection, connection.bytes + bytes);
    }
    if (group.evictable.first) this.#evictable.rank(group, groupBytes);
    else group.bytes = groupBytes;
  }

  /** Takes a holding out of those that may be evicted. */
  #protect(holding: OpenHolding): void {
    if (holding.isProtected) return;
    const { group, connection } = holding;
    holding.isProtected = true;
    connection.holdings.delete(holding);
    const bytes = connection.bytes - holding.bytes;
    if (connection.holdings.first) {
      group.evictable.rank(connection, bytes);
      return;
    }
    group.evictable.delete(connection);
    connection.bytes = bytes;
    if (!group.evictable.first) this.#evictable.delete(group);
  }

  #unprotect(holding: OpenHolding): void {
    if (!holding.isProtected || this.#reserveHolder === holding) return;
    const { group, connection } = holding;
    holding.isProtected = false;
    connection.holdings.rank(holding, holding.bytes);
    group.evictable.rank(connection, connection.bytes + holding.bytes);
    this.#evictable.rank(group, group.bytes);
    this.#evictExcess();
  }

  #groupOf(name: string): Group {
    const known = this.#groups.get(name);
    if (known) return known;
    const group: Group = {
      name,
      bytes: 0,
      order: this.#nextOrder(),
      place: -1,
      holdingCount: 0,
      connections: new Map(),
      evictable: RankedSet.create(this.#options.onCompare),
    };
    this.#groups.set(name, group);
    return group;
  }

  #connectionOf(group: Group, key: unknown): Connection {
    const known = group.connections.get(key);
    if (known) return known;
    const connection: Connection = {
      key,
      bytes: 0,
      order: this.#nextOrder(),
      place: -1,
      holdingCount: 0,
      holdings: RankedSet.create(this.#options.onCompare),
    };
    group.connections.set(key, connection);
    return connection;
  }

  #nextOrder(): number {
    this.#opened += 1;
    return this.#opened;
  }

  #mayGrow(holding: OpenHolding): boolean {
    if (this.#used <= this.#waitBytes) return true;
    if (holding.bytes > this.#options.reserveBytes) return false;
    if (!this.#reserveHolder) {
      this.#reserveHolder = holding;
      this.#protect(holding);
    }
    return this.#reserveHolder === holding;
  }

  #wakeWaiting(): void {
    for (const holding of this.#waiting) {
      if (!this.#mayGrow(holding)) {
        if (this.#reserveHolder !== undefined) return;
        continue;
      }
      this.#waiting.delete(holding);
      holding.options.onRoom();
    }
  }
}
