/** Condition variable: wakes all tasks that wait for the next change. */
export class ChangeSignal {
  #waiting: Set<() => void> = new Set();

  private constructor() {}

  /** Creates a signal without waiting tasks. */
  static create(): ChangeSignal {
    return new ChangeSignal();
  }

  /** Wakes all waiting tasks. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = new Set();
    for (const wake of waiting) wake();
  }

  /** Waits until the next change, an abort of the signal or `maxMs`. */
  async wait(maxMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", finish);
        this.#waiting.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, maxMs);
      signal?.addEventListener("abort", finish);
      this.#waiting.add(finish);
    });
  }
}
