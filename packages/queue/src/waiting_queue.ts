import { OrderedItems } from "./ordered_items.ts";
import { ServedCounters } from "./served_counters.ts";

/** A request that waits for a place. */
export interface WaitingItemFields<T> {
  /** What it waits for; requests with other names don't compete with it. */
  readonly name: string;
  /** Organisation that the request is charged to. */
  readonly organisation: string;
  /** Priority; 0 is the most urgent. */
  readonly priority: number;
  /** Time at which its caller leaves, in ms. */
  readonly leavesAt: number;
  /** Bytes that it holds while it waits. */
  readonly bytes: number;
  /** Tokens or requests that its organisation is charged when it is served. */
  readonly tokens: number;
  /** Whether its response has begun; it is never shed then. */
  readonly isStarted: boolean;
  /** The caller's own value for the request. */
  readonly value: T;
}

/** A waiting request and its arrival. */
export interface WaitingItem<T> extends WaitingItemFields<T> {
  /** Number of the request, by arrival. */
  readonly arrival: number;
}

/** Bound that a request was shed for. */
export type ShedCause = "entries" | "bytes";

/** A request that is shed. */
export interface ShedItem<T> {
  /** The request; it doesn't wait any longer. */
  readonly item: WaitingItem<T>;
  /** Bound that was exceeded. */
  readonly cause: ShedCause;
}

/** Options of {@link WaitingQueue.create}. */
export interface WaitingQueueOptions {
  /** Most waiting requests, besides those whose response has begun. */
  readonly maxEntries: number;
  /** Most bytes of these requests. */
  readonly maxBytes: number;
}

type Items<T> = OrderedItems<WaitingItem<T>>;
type ItemsByPriority<T> = Map<number, Map<string, Items<T>>>;

/** Requests that wait for the same name. */
interface Line<T> {
  readonly items: ItemsByPriority<T>;
  readonly served: ServedCounters;
  length: number;
}

/**
 * Bounded queues of waiting requests, one for each name. Each is ordered by
 * priority, then by the least served organisation, then by the time at which the
 * caller leaves. When a bound is exceeded, requests of the least urgent priority
 * and of the organisation that holds most are shed.
 */
export class WaitingQueue<T> {
  readonly #options: WaitingQueueOptions;
  readonly #lines: Map<string, Line<T>> = new Map();
  /** Requests that may be shed, over all names. */
  readonly #sheddable: ItemsByPriority<T> = new Map();
  readonly #items: Set<WaitingItem<T>> = new Set();
  #sheddableEntries = 0;
  #sheddableBytes = 0;
  #arrivals = 0;

  private constructor(options: WaitingQueueOptions) {
    this.#options = options;
  }

  /** Creates queues without requests. */
  static create<T>(options: WaitingQueueOptions): WaitingQueue<T> {
    return new WaitingQueue<T>(options);
  }

  /** Number of waiting requests. */
  get length(): number {
    return this.#items.size;
  }

  /** Requests that count towards the bounds. */
  get boundedEntries(): number {
    return this.#sheddableEntries;
  }

  /** Bytes that count towards the bounds. */
  get boundedBytes(): number {
    return this.#sheddableBytes;
  }

  /** Names that requests wait for. */
  get names(): readonly string[] {
    return [...this.#lines.keys()];
  }

  /** All waiting requests, in no order. */
  get items(): Iterable<WaitingItem<T>> {
    return this.#items;
  }

  /** Number of requests that wait for a name. */
  count(name: string): number {
    return this.#lines.get(name)?.length ?? 0;
  }

  /** Adds a request. Returns it and those that are shed, which it may be among. */
  add(
    fields: WaitingItemFields<T>,
  ): { item: WaitingItem<T>; shed: readonly ShedItem<T>[] } {
    this.#arrivals += 1;
    const item = { ...fields, arrival: this.#arrivals };
    const { maxBytes } = this.#options;
    if (!item.isStarted && item.bytes > maxBytes) {
      return { item, shed: [{ item, cause: "bytes" }] };
    }
    this.#insert(item);
    return { item, shed: this.#shed() };
  }

  /** Removes a request that is served, and charges its organisation. */
  take(item: WaitingItem<T>): boolean {
    this.#lines.get(item.name)?.served.charge(item.organisation, item.tokens);
    return this.remove(item);
  }

  /** Removes a request without serving it. Returns whether it was waiting. */
  remove(item: WaitingItem<T>): boolean {
    if (!this.#items.delete(item)) return false;
    const line = this.#lines.get(item.name)!;
    removeFrom(line.items, item);
    line.length -= 1;
    if (line.length === 0) this.#lines.delete(item.name);
    if (item.isStarted) return true;
    removeFrom(this.#sheddable, item);
    this.#sheddableEntries -= 1;
    this.#sheddableBytes -= item.bytes;
    return true;
  }

  /**
   * Goes through the requests that wait for a name now, in the order in which they
   * are owed a place. Requests may be added, taken and removed meanwhile; those
   * added aren't seen.
   */
  *inOrder(name: string): Iterable<WaitingItem<T>> {
    const line = this.#lines.get(name);
    if (!line) return;
    const priorities = [...line.items.keys()].sort((a, b) => a - b);
    for (const priority of priorities) {
      yield* this.#inFairOrder(line, line.items.get(priority));
    }
  }

  *#inFairOrder(
    { served }: Line<T>,
    organisations: ReadonlyMap<string, Items<T>> = new Map(),
  ): Iterable<WaitingItem<T>> {
    const remaining = [...organisations].map(([organisation, items]) => ({
      organisation,
      items: items.toArray(),
      next: 0,
    }));
    remaining.sort((a, b) =>
      served.of(a.organisation) - served.of(b.organisation)
    );
    while (remaining.length > 0) {
      const first = remaining[0]!;
      const item = first.items[first.next];
      first.next += 1;
      if (item === undefined) remaining.shift();
      if (item === undefined || !this.#items.has(item)) continue;
      yield item;
      if (this.#items.has(item)) continue;
      // Its organisation may have been served, and comes after others then.
      remaining.shift();
      const counter = served.of(first.organisation);
      const index = remaining.findIndex(({ organisation }) =>
        served.of(organisation) > counter
      );
      remaining.splice(index === -1 ? remaining.length : index, 0, first);
    }
  }

  #insert(item: WaitingItem<T>): void {
    const { name, organisation } = item;
    const line = this.#lines.get(name) ?? {
      items: new Map(),
      served: ServedCounters.create(() => 1),
      length: 0,
    };
    this.#lines.set(name, line);
    const active = new Set<string>();
    for (const organisations of line.items.values()) {
      for (const other of organisations.keys()) active.add(other);
    }
    if (!active.has(organisation)) line.served.raise(organisation, active);
    addTo(line.items, item);
    line.length += 1;
    this.#items.add(item);
    if (item.isStarted) return;
    addTo(this.#sheddable, item);
    this.#sheddableEntries += 1;
    this.#sheddableBytes += item.bytes;
  }

  #shed(): readonly ShedItem<T>[] {
    const { maxEntries, maxBytes } = this.#options;
    const shed: ShedItem<T>[] = [];
    while (true) {
      const cause = this.#sheddableBytes > maxBytes ? "bytes" : "entries";
      if (cause === "entries" && this.#sheddableEntries <= maxEntries) {
        return shed;
      }
      const item = this.#findCheapest(cause);
      if (!item) return shed;
      this.remove(item);
      shed.push({ item, cause });
    }
  }

  /** Of the least urgent, of the organisation that holds most. */
  #findCheapest(cause: ShedCause): WaitingItem<T> | undefined {
    const heldBy = (items: Items<T>) =>
      cause === "bytes" ? items.bytes : items.length;
    const priority = Math.max(...this.#sheddable.keys());
    let most: Items<T> | undefined;
    for (const items of this.#sheddable.get(priority)?.values() ?? []) {
      if (!most || heldBy(items) > heldBy(most)) most = items;
    }
    if (!most) return undefined;
    return cause === "bytes" ? findLargest(most) : findLastOfMostAwaited(most);
  }
}

/** Of the items with most bytes, the last to leave. */
function findLargest<T>(items: Items<T>): WaitingItem<T> | undefined {
  let largest: WaitingItem<T> | undefined;
  for (const item of items.toArray()) {
    if (!largest || item.bytes >= largest.bytes) largest = item;
  }
  return largest;
}

/** Of the name with most items, the last to leave. */
function findLastOfMostAwaited<T>(
  items: Items<T>,
): WaitingItem<T> | undefined {
  const byName = new Map<string, { count: number; last: WaitingItem<T> }>();
  let most: { count: number; last: WaitingItem<T> } | undefined;
  for (const item of items.toArray()) {
    const entry = byName.get(item.name) ?? { count: 0, last: item };
    byName.set(item.name, entry);
    entry.count += 1;
    entry.last = item;
    if (!most || entry.count >= most.count) most = entry;
  }
  return most?.last;
}

function addTo<T>(items: ItemsByPriority<T>, item: WaitingItem<T>): void {
  const { priority, organisation } = item;
  const organisations = items.get(priority) ?? new Map<string, Items<T>>();
  items.set(priority, organisations);
  const own = organisations.get(organisation) ??
    OrderedItems.create<WaitingItem<T>>(({ bytes }) => bytes);
  organisations.set(organisation, own);
  own.add(item);
}

function removeFrom<T>(items: ItemsByPriority<T>, item: WaitingItem<T>): void {
  const { priority, organisation } = item;
  const organisations = items.get(priority);
  const own = organisations?.get(organisation);
  own?.remove(item);
  if (own?.length === 0) organisations!.delete(organisation);
  if (organisations?.size === 0) items.delete(priority);
}
