/** An item of a {@link RankedSet}, which is in one set at a time. */
export interface Ranked {
  /** Higher ones come first. Changed only by {@link RankedSet.rank}. */
  bytes: number;
  /** Of equals, lower ones come first. */
  readonly order: number;
  /** Place in its set, or -1. */
  place: number;
}

/** Items of which the first is known, at a cost that grows with the logarithm. */
export class RankedSet<T extends Ranked> {
  /** A binary heap. */
  readonly #items: T[] = [];
  readonly #onCompare: (() => void) | undefined;

  private constructor(onCompare?: () => void) {
    this.#onCompare = onCompare;
  }

  /** Creates an empty set. `onCompare` counts its work. */
  static create<T extends Ranked>(onCompare?: () => void): RankedSet<T> {
    return new RankedSet(onCompare);
  }

  /** The item with the most bytes, the oldest of equals. */
  get first(): T | undefined {
    return this.#items[0];
  }

  /** Adds an item, or moves it as its bytes have changed. */
  rank(item: T, bytes: number): void {
    item.bytes = bytes;
    if (item.place === -1) this.#put(item, this.#items.length);
    this.#raise(item);
    this.#lower(item);
  }

  /** Removes an item, if it is in the set. */
  delete(item: T): void {
    const { place } = item;
    if (place === -1) return;
    const last = this.#items.pop()!;
    item.place = -1;
    if (last === item) return;
    this.#put(last, place);
    this.#raise(last);
    this.#lower(last);
  }

  #put(item: T, place: number): void {
    this.#items[place] = item;
    item.place = place;
  }

  #raise(item: T): void {
    while (item.place > 0) {
      const parent = this.#items[(item.place - 1) >> 1]!;
      if (!this.#isBefore(item, parent)) return;
      this.#swap(item, parent);
    }
  }

  #lower(item: T): void {
    while (true) {
      const left = this.#items[2 * item.place + 1];
      const right = this.#items[2 * item.place + 2];
      if (!left) return;
      const child = right && this.#isBefore(right, left) ? right : left;
      if (!this.#isBefore(child, item)) return;
      this.#swap(item, child);
    }
  }

  #swap(item: T, other: T): void {
    const { place } = item;
    this.#put(item, other.place);
    this.#put(other, place);
  }

  #isBefore(item: T, other: T): boolean {
    this.#onCompare?.();
    if (item.bytes !== other.bytes) return item.bytes > other.bytes;
    return item.order < other.order;
  }
}
