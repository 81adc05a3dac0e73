interface TimedEvent {
  readonly at: number;
  readonly sequence: number;
  readonly run: () => void;
  cancelled: boolean;
}

/**
 * Simulated time of a replay. Events run in order of their time. After an event
 * that may have settled a promise, pending promise callbacks run before the
 * next event. Other events run without waiting for promise callbacks.
 */
export class VirtualTime {
  #now = 0;
  #sequence = 0;
  #hasPendingCallbacks = false;
  readonly #heap: TimedEvent[] = [];

  /** Milliseconds since the start. */
  get now(): number {
    return this.#now;
  }

  /**
   * Runs a function after a delay in ms, then pending promise callbacks before
   * the next event. Returns a function that cancels.
   */
  schedule(ms: number, run: () => void): () => void {
    return this.scheduleSynchronous(ms, () => {
      this.notifyPromiseResolved();
      run();
    });
  }

  /**
   * Runs a function after a delay in ms, without promise callbacks afterwards
   * unless it calls {@link notifyPromiseResolved}. Returns a function that
   * cancels.
   */
  scheduleSynchronous(ms: number, run: () => void): () => void {
    this.#sequence += 1;
    const at = this.#now + Math.max(0, ms);
    const event = { at, sequence: this.#sequence, run, cancelled: false };
    push(this.#heap, event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Makes pending promise callbacks run before the next event. */
  notifyPromiseResolved(): void {
    this.#hasPendingCallbacks = true;
  }

  /** Waits in virtual time. Throws when the signal is aborted. */
  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      if (signal?.aborted) {
        reject(signal.reason);
        return;
      }
      const onAbort = () => {
        cancel();
        this.notifyPromiseResolved();
        reject(signal!.reason);
      };
      const cancel = this.schedule(ms, () => {
        signal?.removeEventListener("abort", onAbort);
        resolve();
      });
      signal?.addEventListener("abort", onAbort, { once: true });
    });
  }

  /** Runs all events up to a time, in ms since the start. */
  async runUntil(end: number): Promise<void> {
    await runPromiseCallbacks();
    while (true) {
      const next = this.#heap[0];
      if (next === undefined || next.at > end) break;
      pop(this.#heap);
      if (next.cancelled) continue;
      this.#now = next.at;
      next.run();
      if (!this.#hasPendingCallbacks) continue;
      this.#hasPendingCallbacks = false;
      await runPromiseCallbacks();
    }
    this.#now = end;
  }
}

/** Resolves once all pending promise callbacks have run. */
function runPromiseCallbacks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(a: TimedEvent, b: TimedEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.sequence < b.sequence);
}

function push(heap: TimedEvent[], event: TimedEvent): void {
  heap.push(event);
  let index = heap.length - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index]!, heap[parent]!)) return;
    swap(heap, index, parent);
    index = parent;
  }
}

function pop(heap: TimedEvent[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  heap[0] = last;
  let index = 0;
  while (true) {
    const left = index * 2 + 1;
    const right = left + 1;
    let earliest = index;
    if (left < heap.length && isBefore(heap[left]!, heap[earliest]!)) {
      earliest = left;
    }
    if (right < heap.length && isBefore(heap[right]!, heap[earliest]!)) {
      earliest = right;
    }
    if (earliest === index) return;
    swap(heap, index, earliest);
    index = earliest;
  }
}

function swap(heap: TimedEvent[], a: number, b: number): void {
  const event = heap[a]!;
  heap[a] = heap[b]!;
  heap[b] = event;
}
