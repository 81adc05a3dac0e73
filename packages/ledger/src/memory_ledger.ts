import type { Clock } from "@banyanspool/types";

/** A model or adapter in an engine's inventory. */
export interface InventoryItem {
  /** Name with version. */
  readonly name: string;
  /** Memory, in MiB. */
  readonly mib: number;
  /** Whether the item is being loaded or is ready for use. */
  readonly state: "loading" | "ready";
}

/** A running sequence in an engine's inventory. */
export interface InventorySequence {
  /** Id that the agent assigned. */
  readonly id: string;
  /** Most KV cache that the sequence may use, in MiB. */
  readonly kvMib: number;
}

/** Contents of the accelerator's memory, as the engine reports them. */
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
  /** Time after sending within which an order can still arrive, in ms. */
  readonly orderLifetimeMs: number;
}

/** State of an item; `uncertain` while a sent order may still change it. */
export type LedgerState = "absent" | "uncertain" | "loading" | "ready";

interface OrderTimes {
  mib: number;
  loadSentAt?: number;
  unloadSentAt?: number;
}

/**
 * Accounts for everything that may be in an accelerator's memory. An item
 * counts from before its load order is sent until it is missing from an
 * inventory that was requested after the order's lifetime. An unload frees no
 * memory before the item is missing from such an inventory.
 */
export class MemoryLedger {
  readonly #options: MemoryLedgerOptions;
  readonly #startedAt: number;
  readonly #orders: Map<string, OrderTimes> = new Map();
  readonly #claimedKvMib: Map<string, number> = new Map();
  #items: ReadonlyMap<string, InventoryItem> = new Map();
  #sequences: ReadonlyMap<string, InventorySequence> = new Map();
  #inventoryAskedAt: number | undefined;

  private constructor(options: MemoryLedgerOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Creates a ledger that refuses all reservations until it has settled. */
  static create(options: MemoryLedgerOptions): MemoryLedger {
    return new MemoryLedger(options);
  }

  /**
   * Whether every order and request of an earlier incarnation has arrived or
   * expired. Before that, nothing may be loaded or run: fencing tokens would
   * stop a late order, but not a late request, which needs KV memory too.
   */
  get isSettled(): boolean {
    if (this.#inventoryAskedAt === undefined) return false;
    return this.#inventoryAskedAt >
      this.#startedAt + this.#options.orderLifetimeMs;
  }

  /** Memory that is neither reserved nor in use, in MiB. */
  get freeMib(): number {
    return this.#options.memoryMib - this.weightsMib - this.kvMib;
  }

  /** Memory reserved for or used by models and adapters, in MiB. */
  get weightsMib(): number {
    let sum = 0;
    for (const name of this.#names()) sum += this.#countedMib(name);
    return sum;
  }

  /** Memory reserved for or used by sequences, in MiB. */
  get kvMib(): number {
    let sum = 0;
    for (const mib of this.#claimedKvMib.values()) sum += mib;
    for (const { id, kvMib } of this.#sequences.values()) {
      if (!this.#claimedKvMib.has(id)) sum += kvMib;
    }
    return sum;
  }

  /**
   * Applies an inventory requested at `askedAt`; ignores one that isn't newer.
   */
  applyInventory(inventory: Inventory, askedAt: number): void {
    if (
      this.#inventoryAskedAt !== undefined && askedAt <= this.#inventoryAskedAt
    ) return;
    this.#inventoryAskedAt = askedAt;
    this.#items = new Map(inventory.items.map((item) => [item.name, item]));
    this.#sequences = new Map(
      inventory.sequences.map((sequence) => [sequence.id, sequence]),
    );
    for (const [name, order] of this.#orders) {
      if (this.#items.has(name)) continue;
      if (this.#mayTakeEffect(order.loadSentAt)) continue;
      this.#orders.delete(name);
    }
  }

  /** Reserves memory for a load, if it fits. Call before sending the order. */
  reserveLoad(name: string, mib: number): boolean {
    if (!this.isSettled) return false;
    const claimed = this.#countedMib(name);
    if (mib - claimed > this.freeMib) return false;
    const order = this.#orderOf(name, mib);
    order.loadSentAt = this.#options.clock.now();
    return true;
  }

  /** Records an unload. Call before sending the order. */
  recordUnload(name: string): void {
    const mib = this.#items.get(name)?.mib ?? 0;
    this.#orderOf(name, mib).unloadSentAt = this.#options.clock.now();
  }

  /** State of an item. Only a `ready` one is sure to stay resident. */
  stateOf(name: string): LedgerState {
    const order = this.#orders.get(name);
    const item = this.#items.get(name);
    if (!item) {
      return this.#mayTakeEffect(order?.loadSentAt) ? "uncertain" : "absent";
    }
    return this.#mayTakeEffect(order?.unloadSentAt) ? "uncertain" : item.state;
  }

  /**
   * Whether the latest inventory lists an item as ready. Unlike an item whose
   * state is `ready`, it may still be removed by an unload that arrives late.
   */
  isListedReady(name: string): boolean {
    return this.#items.get(name)?.state === "ready";
  }

  /** Items of the latest inventory. */
  listItems(): readonly InventoryItem[] {
    return [...this.#items.values()];
  }

  /** Reserves KV memory for a sequence, if it fits. */
  reserveKv(id: string, mib: number): boolean {
    if (!this.isSettled || mib > this.freeMib) return false;
    this.#claimedKvMib.set(id, mib);
    return true;
  }

  /** Frees a sequence's memory. Call once the engine has reported its end. */
  releaseKv(id: string): void {
    this.#claimedKvMib.delete(id);
    const sequences = new Map(this.#sequences);
    sequences.delete(id);
    this.#sequences = sequences;
  }

  /** Whether the latest inventory lists a sequence. */
  isRunning(id: string): boolean {
    return this.#sequences.has(id);
  }

  /** Ids of running sequences without a reservation of this incarnation. */
  orphanSequenceIds(): readonly string[] {
    return [...this.#sequences.keys()].filter((id) =>
      !this.#claimedKvMib.has(id)
    );
  }

  /** Monotonic time of the latest inventory's request; undefined before one. */
  get inventoryAskedAt(): number | undefined {
    return this.#inventoryAskedAt;
  }

  #names(): Set<string> {
    return new Set([...this.#items.keys(), ...this.#orders.keys()]);
  }

  #countedMib(name: string): number {
    const listed = this.#items.get(name)?.mib ?? 0;
    const order = this.#orders.get(name);
    const ordered = this.#mayTakeEffect(order?.loadSentAt) ? order!.mib : 0;
    return Math.max(listed, ordered);
  }

  /** Whether an order sent at `sentAt` may take effect after the inventory. */
  #mayTakeEffect(sentAt: number | undefined): boolean {
    if (sentAt === undefined) return false;
    if (this.#inventoryAskedAt === undefined) return true;
    return this.#inventoryAskedAt <= sentAt + this.#options.orderLifetimeMs;
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
