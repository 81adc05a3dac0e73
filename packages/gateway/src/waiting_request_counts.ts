/** Counts requests that wait for a model or adapter to become available. */
export class WaitingRequestCounts {
  readonly #waiting: Map<string, number> = new Map();
  #onFirstWaiting: (() => void) | undefined;

  private constructor() {}

  /** Creates empty counts. */
  static create(): WaitingRequestCounts {
    return new WaitingRequestCounts();
  }

  /** Sets the function called when a first request starts to wait for a name. */
  set onFirstWaiting(listener: () => void) {
    this.#onFirstWaiting = listener;
  }

  /** Number of waiting requests by `model` or `model/adapter`. */
  get waiting(): ReadonlyMap<string, number> {
    return this.#waiting;
  }

  /** Counts a request as waiting until the returned function is first called. */
  add(name: string): () => void {
    const before = this.#waiting.get(name) ?? 0;
    this.#waiting.set(name, before + 1);
    if (before === 0) this.#onFirstWaiting?.();
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      const remaining = (this.#waiting.get(name) ?? 1) - 1;
      if (remaining === 0) this.#waiting.delete(name);
      else this.#waiting.set(name, remaining);
    };
  }
}
