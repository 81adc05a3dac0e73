interface Event {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
  cancelled: boolean;
}

/**
 * Time of a replay. Events run in order of their time; after an event that
 * may have resolved a promise, all tasks run until they wait again.
 */
export class VirtualTime {
  #now = 0;
  #order = 0;
  #isTouched = false;
  readonly #heap: Event[] = [];

  /** Milliseconds since the start. */
  get now(): number {
    return this.#now;
  }

  /** Runs a function later; its tasks run before the next event. */
  schedule(ms: number, run: () => void): () => void {
    return this.scheduleSynchronous(ms, () => {
      this.notifyPromiseResolved();
      run();
    });
  }

  /** Runs a function later that resolves no promise unless it touches. */
  scheduleSynchronous(ms: number, run: () => void): () => void {
    this.#order += 1;
    const at = this.#now + Math.max(0, ms);
    const event = { at, order: this.#order, run, cancelled: false };
    push(this.#heap, event);
    return () => {
      event.cancelled = true;
    };
  }

  /** Says that a promise was resolved. */
  notifyPromiseResolved(): void {
    this.#isTouched = true;
  }

  /** Waits in virtual time; rejects when the signal is aborted. */
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

  /** Runs all events up to a time. */
  async runUntil(end: number): Promise<void> {
    await runTasks();
    while (true) {
      const next = this.#heap[0];
      if (next === undefined || next.at > end) break;
      pop(this.#heap);
      if (next.cancelled) continue;
      this.#now = next.at;
      next.run();
      if (!this.#isTouched) continue;
      this.#isTouched = false;
      await runTasks();
    }
    this.#now = end;
  }
}

/** Resolves once no task can go on without a further event. */
function runTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function isBefore(a: Event, b: Event): boolean {
  return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Event[], event: Event): void {
  heap.push(event);
  let index = heap.length - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index]!, heap[parent]!)) return;
    swap(heap, index, parent);
    index = parent;
  }
}

function pop(heap: Event[]): void {
  const last = heap.pop()!;
  if (heap.length === 0) return;
  heap[0] = last;
  let index = 0;
  while (true) {
    const left = index * 2 + 1;
    const right = left + 1;
    let least = index;
    if (left < heap.length && isBefore(heap[left]!, heap[least]!)) least = left;
    if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
      least = right;
    }
    if (least === index) return;
    swap(heap, index, least);
    index = least;
  }
}

function swap(heap: Event[], a: number, b: number): void {
  const event = heap[a]!;
  heap[a] = heap[b]!;
  heap[b] = event;
}
