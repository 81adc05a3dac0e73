/** Counts requests that wait for a model or adapter that no replica holds. */
export class WaitingRequestCounts {
  readonly #waiting: Map<string, number> = new Map();
  #onWanted: (() => void) | undefined;

  private constructor() {}

  /** Creates the counts of a process in which nothing waits. */
  static create(): WaitingRequestCounts {
    return new WaitingRequestCounts();
  }

  /** Calls a function at once when something new is wanted. */
  set onFirstWaiting(notify: () => void) {
    this.#onWanted = notify;
  }

  /** Requests that wait, by `model` or `model/adapter`. */
  get waiting(): ReadonlyMap<string, number> {
    return this.#waiting;
  }

  /** Counts a request as waiting until the returned function is called. */
  add(name: string): () => void {
    const before = this.#waiting.get(name) ?? 0;
    this.#waiting.set(name, before + 1);
    if (before === 0) this.#onWanted?.();
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      const rest = (this.#waiting.get(name) ?? 1) - 1;
      if (rest === 0) this.#waiting.delete(name);
      else this.#waiting.set(name, rest);
    };
  }
}
