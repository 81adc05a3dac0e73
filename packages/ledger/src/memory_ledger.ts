import type { Clock } from "@banyanspool/types";

/** A model or adapter that an engine lists. */
export interface InventoryItem {
  /** Name with version. */
  readonly name: string;
  /** Memory, in MiB. */
  readonly mib: number;
  /** Whether it is being loaded or can be used. */
  readonly state: "loading" | "ready";
}

/** A sequence that an engine runs. */
export interface InventorySequence {
  /** Id that the agent gave it. */
  readonly id: string;
  /** KV cache that it may come to use, in MiB. */
  readonly kvMib: number;
}

/** What an engine says it holds. */
export interface Inventory {
  /** Models and adapters. */
  readonly items: readonly InventoryItem[];
  /** Running sequences. */
  readonly sequences: readonly InventorySequence[];
}

/** Options of {@link MemoryLedger.create}. */
export interface MemoryLedgerOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Accelerator memory, in MiB. */
  readonly memoryMib: number;
  /** Time after which an order that was sent can't arrive any more, in ms. */
  readonly orderLifetimeMs: number;
}

/** What the ledger says of an item. */
export type LedgerState = "absent" | "uncertain" | "loading" | "ready";

interface OrderTimes {
  mib: number;
  loadSentAt?: number;
  unloadSentAt?: number;
}

/**
 * Counts what may be in an accelerator's memory. A load counts from before
 * its order is sent until an inventory that was asked for after the order's
 * lifetime lacks it; an unload frees nothing before such an inventory.
 */
export class MemoryLedger {
  readonly #options: MemoryLedgerOptions;
  readonly #startedAt: number;
  readonly #orders: Map<string, OrderTimes> = new Map();
  readonly #kv: Map<string, number> = new Map();
  #items: ReadonlyMap<string, InventoryItem> = new Map();
  #sequences: ReadonlyMap<string, InventorySequence> = new Map();
  #askedAt: number | undefined;

  private constructor(options: MemoryLedgerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Creates a ledger that knows nothing and grants nothing yet. */
  static create(options: MemoryLedgerOptions): MemoryLedger {
    return new MemoryLedger(options);
  }

  /**
   * Whether every order and request of an earlier incarnation has arrived or
   * is void. Before that nothing may be loaded or run: fencing tokens would
   * stop a late order, but not a late request, which needs KV memory too.
   */
  get isSettled(): boolean {
    if (this.#askedAt === undefined) return false;
    return this.#askedAt > this.#startedAt + this.#options.orderLifetimeMs;
  }

  /** Memory that nothing claims, in MiB. */
  get freeMib(): number {
    return this.#options.memoryMib - this.weightsMib - this.kvMib;
  }

  /** Memory that models and adapters claim, in MiB. */
  get weightsMib(): number {
    let sum = 0;
    for (const name of this.#names()) sum += this.#countedMib(name);
    return sum;
  }

  /** Memory that sequences claim, in MiB. */
  get kvMib(): number {
    let sum = 0;
    for (const mib of this.#kv.values()) sum += mib;
    for (const { id, kvMib } of this.#sequences.values()) {
      if (!this.#kv.has(id)) sum += kvMib;
    }
    return sum;
  }

  /** Takes in an inventory with the time at which it was asked for. */
  applyInventory(inventory: Inventory, askedAt: number): void {
    if (this.#askedAt !== undefined && askedAt <= this.#askedAt) return;
    this.#askedAt = askedAt;
    this.#items = new Map(inventory.items.map((item) => [item.name, item]));
    this.#sequences = new Map(
      inventory.sequences.map((sequence) => [sequence.id, sequence]),
    );
    for (const [name, order] of this.#orders) {
      if (this.#items.has(name)) continue;
      if (this.#mayArrive(order.loadSentAt)) continue;
      this.#orders.delete(name);
    }
  }

  /** Claims memory for a load; call before the order is sent. */
  reserveLoad(name: string, mib: number): boolean {
    if (!this.isSettled) return false;
    const claimed = this.#countedMib(name);
    if (mib - claimed > this.freeMib) return false;
    const order = this.#orderOf(name, mib);
    order.loadSentAt = this.#options.clock.now();
    return true;
  }

  /** Records an unload; call before the order is sent. */
  recordUnload(name: string): void {
    const mib = this.#items.get(name)?.mib ?? 0;
    this.#orderOf(name, mib).unloadSentAt = this.#options.clock.now();
  }

  /** What is known of an item. Only a ready item may be relied on. */
  stateOf(name: string): LedgerState {
    const order = this.#orders.get(name);
    const item = this.#items.get(name);
    if (!item) {
      return this.#mayArrive(order?.loadSentAt) ? "uncertain" : "absent";
    }
    return this.#mayArrive(order?.unloadSentAt) ? "uncertain" : item.state;
  }

  /**
   * Whether the latest inventory lists an item as ready. Unlike a ready item,
   * a listed one may still vanish by an unload that arrives late.
   */
  isListedReady(name: string): boolean {
    return this.#items.get(name)?.state === "ready";
  }

  /** Items of the latest inventory. */
  listItems(): readonly InventoryItem[] {
    return [...this.#items.values()];
  }

  /** Claims KV memory for a sequence. */
  reserveKv(id: string, mib: number): boolean {
    if (!this.isSettled || mib > this.freeMib) return false;
    this.#kv.set(id, mib);
    return true;
  }

  /** Frees a sequence's memory once the engine has said that it ended. */
  releaseKv(id: string): void {
    this.#kv.delete(id);
    const sequences = new Map(this.#sequences);
    sequences.delete(id);
    this.#sequences = sequences;
  }

  /** Whether the latest inventory lists a sequence. */
  isRunning(id: string): boolean {
    return this.#sequences.has(id);
  }

  /** Ids of sequences that no request of this incarnation claims. */
  orphanSequenceIds(): readonly string[] {
    return [...this.#sequences.keys()].filter((id) => !this.#kv.has(id));
  }

  /** When the latest inventory was asked for. */
  get inventoryAskedAt(): number | undefined {
    return this.#askedAt;
  }

  #names(): Set<string> {
    return new Set([...this.#items.keys(), ...this.#orders.keys()]);
  }

  #countedMib(name: string): number {
    const listed = this.#items.get(name)?.mib ?? 0;
    const order = this.#orders.get(name);
    const ordered = this.#mayArrive(order?.loadSentAt) ? order!.mib : 0;
    return Math.max(listed, ordered);
  }

  /** Whether an order may take effect after the latest inventory. */
  #mayArrive(sentAt: number | undefined): boolean {
    if (sentAt === undefined) return false;
    if (this.#askedAt === undefined) return true;
    return this.#askedAt <= sentAt + this.#options.orderLifetimeMs;
  }

  #orderOf(name: string, mib: number): OrderTimes {
    const known = this.#orders.get(name);
    if (known) {
      known.mib = Math.max(known.mib, mib);
      return known;
    }
    const order: OrderTimes = { mib };
    this.#orders.set(name, order);
    return order;
  }
}
