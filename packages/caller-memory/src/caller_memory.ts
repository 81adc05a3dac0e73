/** Options of {@link CallerMemory.create}. */
export interface CallerMemoryOptions {
  /** Bytes that may be held for all callers together. */
  readonly totalBytes: number;
  /**
   * Bytes up to which one holding may grow although memory is short, so that a
   * single request always gets through.
   */
  readonly reserveBytes: number;
}

/** Options of {@link CallerMemory.open}. */
export interface HoldingOptions {
  /** Organisation or other group among which memory is shared fairly. */
  readonly group: string;
  /** Connection of the holding, among those of its group. */
  readonly connection: unknown;
  /** Bytes that are held from the start, which neither wait nor use the reserve. */
  readonly bytes?: number;
  /** Called when a holding that had to wait may grow again. */
  readonly onRoom: () => void;
  /** Called when the holding is evicted. It is closed then. */
  readonly onEvict: () => void;
}

/** Memory that is held for one request or one response. */
export interface Holding {
  /** Bytes that are held. */
  readonly bytes: number;
  /** Whether it was closed or evicted, and holds nothing. */
  readonly isClosed: boolean;
  /**
   * Adds bytes that have arrived. Returns false if no more may be read until
   * `onRoom` is called.
   */
  add(bytes: number): boolean;
  /** Frees some of the bytes. */
  remove(bytes: number): void;
  /** Protects the holding from being evicted, as its request may be running. */
  keep(): void;
  /** Frees all bytes. Has no effect the second time. */
  close(): void;
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
  /** Holdings that wait, in order. */
  readonly #waiting: Set<OpenHolding> = new Set();
  /** The one holding that may grow although memory is short. */
  #reserveHolder: OpenHolding | undefined;

  private constructor(options: CallerMemoryOptions) {
    this.#options = options;
    this.#waitBytes = options.totalBytes * WAIT_SHARE;
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
    for (const group of this.#groups.values()) count += group.holdings.size;
    return count;
  }

  /** Opens a holding, which may be evicted at once if memory is short. */
  open(options: HoldingOptions): Holding {
    const name = options.group;
    let group = this.#groups.get(name);
    if (!group) {
      group = { name, bytes: 0, holdings: new Set() };
      this.#groups.set(name, group);
    }
    const holding: OpenHolding = new OpenHolding(options, group, {
      add: (bytes) => this.#add(holding, bytes),
      remove: (bytes) => this.#remove(holding, bytes),
      close: () => this.#close(holding),
    });
    group.holdings.add(holding);
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
    const victim = this.#findVictim();
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
    const { group } = holding;
    group.holdings.delete(holding);
    if (group.holdings.size === 0) this.#groups.delete(group.name);
    this.#waiting.delete(holding);
    if (this.#reserveHolder === holding) this.#reserveHolder = undefined;
    this.#wakeWaiting();
  }

  #count(holding: OpenHolding, bytes: number): void {
    holding.bytes += bytes;
    holding.group.bytes += bytes;
    this.#used += bytes;
  }

  #mayGrow(holding: OpenHolding): boolean {
    if (this.#used <= this.#waitBytes) return true;
    if (holding.bytes > this.#options.reserveBytes) return false;
    this.#reserveHolder ??= holding;
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

  #findVictim(): OpenHolding | undefined {
    let best: OpenHolding | undefined;
    let bestGroup: Group | undefined;
    for (const group of this.#groups.values()) {
      if (bestGroup && group.bytes <= bestGroup.bytes) continue;
      const largest = largestEvictable(group, this.#reserveHolder);
      if (!largest) continue;
      best = largest;
      bestGroup = group;
    }
    return best;
  }
}

interface Group {
  readonly name: string;
  bytes: number;
  readonly holdings: Set<OpenHolding>;
}

interface HoldingActions {
  readonly add: (bytes: number) => boolean;
  readonly remove: (bytes: number) => void;
  readonly close: () => void;
}

class OpenHolding implements Holding {
  readonly options: HoldingOptions;
  readonly group: Group;
  readonly #actions: HoldingActions;
  bytes = 0;
  isClosed = false;
  isKept = false;

  constructor(options: HoldingOptions, group: Group, actions: HoldingActions) {
    this.options = options;
    this.group = group;
    this.#actions = actions;
  }

  add(bytes: number): boolean {
    return this.isClosed ? false : this.#actions.add(bytes);
  }

  remove(bytes: number): void {
    if (!this.isClosed) this.#actions.remove(bytes);
  }

  keep(): void {
    this.isKept = true;
  }

  close(): void {
    this.#actions.close();
  }
}

/**
 * Returns the largest holding that may be evicted of the connection whose
 * evictable holdings are largest, the oldest of equals.
 */
function largestEvictable(
  { holdings }: Group,
  reserveHolder: OpenHolding | undefined,
): OpenHolding | undefined {
  const sums = new Map<unknown, { bytes: number; largest: OpenHolding }>();
  for (const holding of holdings) {
    if (holding.isKept || holding === reserveHolder) continue;
    const { connection } = holding.options;
    const sum = sums.get(connection);
    if (!sum) {
      sums.set(connection, { bytes: holding.bytes, largest: holding });
      continue;
    }
    sum.bytes += holding.bytes;
    if (holding.bytes > sum.largest.bytes) sum.largest = holding;
  }
  let most: { bytes: number; largest: OpenHolding } | undefined;
  for (const sum of sums.values()) {
    if (!most || sum.bytes > most.bytes) most = sum;
  }
  return most?.largest;
}
