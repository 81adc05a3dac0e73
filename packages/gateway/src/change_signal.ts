/** Wakes tasks that wait for the next change of something. */
export class ChangeSignal {
  #waiting: Set<() => void> = new Set();

  private constructor() {}

  /** Creates a signal that nobody waits for. */
  static create(): ChangeSignal {
    return new ChangeSignal();
  }

  /** Wakes all that wait. */
  notify(): void {
    const waiting = this.#waiting;
    this.#waiting = new Set();
    for (const wake of waiting) wake();
  }

  /** Waits for the next change, at most so many ms, or for an abort. */
  async wait(maxMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return;
    await new Promise<void>((resolve) => {
      const end = () => {
        clearTimeout(timer);
        signal?.removeEventListener("abort", end);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, maxMs);
      signal?.addEventListener("abort", end);
      this.#waiting.add(end);
    });
  }
}
