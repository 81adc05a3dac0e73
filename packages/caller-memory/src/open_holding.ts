import type { Ranked, RankedSet } from "./ranked_set.ts";

/** Options of `CallerMemory.open`. */
export interface HoldingOptions {
  /** Organisation or other group among which memory is shared fairly. */
  readonly group: string;
  /** Connection of the holding, among those of its group. */
  readonly connection: unknown;
  /** Bytes that are held from the start, which neither wait nor use the reserve. */
  readonly bytes?: number;
  /** Whether it is protected as by `keep` from the start. */
  readonly isKept?: boolean;
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
  /**
   * Adds bytes that neither wait nor use the reserve. Returns false if memory is
   * short, and no more should be read.
   */
  count(bytes: number): boolean;
  /** Frees some of the bytes. */
  remove(bytes: number): void;
  /** Protects the holding from being evicted, as its request may be running. */
  keep(): void;
  /** Ends the protection; it may be evicted at once if memory is short. */
  unkeep(): void;
  /** Frees all bytes. Has no effect the second time. */
  close(): void;
}

/** Holdings of one organisation; its bytes are those of all of them. */
export interface Group extends Ranked {
  readonly name: string;
  holdingCount: number;
  readonly connections: Map<unknown, Connection>;
  /** Connections with holdings that may be evicted. */
  readonly evictable: RankedSet<Connection>;
}

/** A connection; its bytes are those of the holdings that may be evicted. */
export interface Connection extends Ranked {
  readonly key: unknown;
  holdingCount: number;
  readonly holdings: RankedSet<OpenHolding>;
}

/** What a holding asks of its budget. */
export interface HoldingActions {
  readonly add: (bytes: number) => boolean;
  readonly count: (bytes: number) => boolean;
  readonly remove: (bytes: number) => void;
  readonly keep: () => void;
  readonly unkeep: () => void;
  readonly close: () => void;
}

/** Where a holding belongs. */
export interface HoldingPlace {
  readonly options: HoldingOptions;
  readonly group: Group;
  readonly connection: Connection;
  readonly order: number;
}

/** A holding as its budget sees it. */
export class OpenHolding implements Holding, Ranked {
  readonly options: HoldingOptions;
  readonly group: Group;
  readonly connection: Connection;
  readonly order: number;
  readonly #actions: HoldingActions;
  bytes = 0;
  place = -1;
  isClosed = false;
  /** Whether it may not be evicted. */
  isProtected: boolean;

  constructor(
    { options, group, connection, order }: HoldingPlace,
    actions: HoldingActions,
  ) {
    this.options = options;
    this.group = group;
    this.connection = connection;
    this.order = order;
    this.#actions = actions;
    this.isProtected = options.isKept ?? false;
  }

  add(bytes: number): boolean {
    return this.isClosed ? false : this.#actions.add(bytes);
  }

  count(bytes: number): boolean {
    return this.isClosed ? false : this.#actions.count(bytes);
  }

  remove(bytes: number): void {
    if (!this.isClosed) this.#actions.remove(bytes);
  }

  keep(): void {
    this.#actions.keep();
  }

  unkeep(): void {
    if (!this.isClosed) this.#actions.unkeep();
  }

  close(): void {
    this.#actions.close();
  }
}
