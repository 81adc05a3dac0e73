/** What orders an item. */
export interface Ordered {
  /** Time at which its caller leaves, in ms. */
  readonly leavesAt: number;
  /** Number of the item, by arrival. */
  readonly arrival: number;
}

/** Items by the time at which their callers leave, the earliest first. */
export class OrderedItems<T extends Ordered> {
  readonly #items: T[] = [];
  #bytes = 0;
  readonly #bytesOf: (item: T) => number;

  private constructor(bytesOf: (item: T) => number) {
    this.#bytesOf = bytesOf;
  }

  /** Creates an empty list. */
  static create<T extends Ordered>(
    bytesOf: (item: T) => number,
  ): OrderedItems<T> {
    return new OrderedItems(bytesOf);
  }

  /** Number of items. */
  get length(): number {
    return this.#items.length;
  }

  /** Bytes of all items. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The item whose caller leaves last. */
  get last(): T | undefined {
    return this.#items.at(-1);
  }

  /** Adds an item. */
  add(item: T): void {
    this.#items.splice(this.#indexOf(item), 0, item);
    this.#bytes += this.#bytesOf(item);
  }

  /** Removes an item; returns whether it was there. */
  remove(item: T): boolean {
    const index = this.#indexOf(item);
    if (this.#items[index] !== item) return false;
    this.#items.splice(index, 1);
    this.#bytes -= this.#bytesOf(item);
    return true;
  }

  /** The items of now; later changes don't show. */
  toArray(): readonly T[] {
    return [...this.#items];
  }

  /** Index of an item, or the one at which it would be added. */
  #indexOf(item: T): number {
    let low = 0;
    let high = this.#items.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      if (isBefore(this.#items[middle]!, item)) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}

function isBefore(a: Ordered, b: Ordered): boolean {
  if (a.leavesAt !== b.leavesAt) return a.leavesAt < b.leavesAt;
  return a.arrival < b.arrival;
}
