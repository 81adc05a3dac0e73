import type { Clock, Sleep } from "@banyanspool/types";

/** Options of {@link ReplicaPauses.create}. */
export interface ReplicaPausesOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Called when a replica that wasn't paused asks for a pause. */
  readonly onPause: (replica: string, forMs: number) => void;
}

interface Pause {
  endsAt: number;
  /** Requests that may wait for a response after the end. */
  admitted: number;
}

/** Longest pause; after it the replica may ask for another one. */
const MAX_PAUSE_MS = 60_000;
/** Waiting requests that end the slow start, and its longest time, in ms. */
const FULL_ADMISSION = 64;
const SLOW_START_MS = 5000;

/**
 * Pauses that replicas asked this gateway for (`Retry-After`). During a pause
 * nothing is sent to the replica. Afterwards a slow start (RFC 5681) doubles the
 * requests that may wait for its response with each response that begins, so that
 * those that were held back don't all come at once.
 */
export class ReplicaPauses {
  readonly #options: ReplicaPausesOptions;
  readonly #pauses: Map<string, Pause> = new Map();

  private constructor(options: ReplicaPausesOptions) {
    this.#options = options;
  }

  /** Creates a set without pauses. */
  static create(options: ReplicaPausesOptions): ReplicaPauses {
    return new ReplicaPauses(options);
  }

  /** Whether no replica is paused or in its slow start. */
  get isEmpty(): boolean {
    return this.#pauses.size === 0;
  }

  /** Begins or prolongs the pause of an incarnation. */
  record(replica: string, { forMs }: { forMs: number }): void {
    const { clock, onPause } = this.#options;
    const now = clock.now();
    const known = this.#pauses.get(replica);
    const boundedMs = Math.min(forMs, MAX_PAUSE_MS);
    const endsAt = Math.max(now + boundedMs, known?.endsAt ?? 0);
    this.#pauses.set(replica, { endsAt, admitted: 1 });
    if (!known || known.endsAt <= now) onPause(replica, boundedMs);
  }

  /** Records a response of a replica that asks for no pause. */
  recordResponse(replica: string): void {
    const pause = this.#pauses.get(replica);
    if (!pause || pause.endsAt > this.#options.clock.now()) return;
    pause.admitted *= 2;
    if (pause.admitted >= FULL_ADMISSION) this.#pauses.delete(replica);
  }

  /** Whether a replica may be sent a request beside those that wait for it. */
  admits(replica: string, waiting: number): boolean {
    const pause = this.#pauses.get(replica);
    if (!pause) return true;
    const now = this.#options.clock.now();
    if (pause.endsAt > now) return false;
    if (now - pause.endsAt < SLOW_START_MS) return waiting < pause.admitted;
    this.#pauses.delete(replica);
    return true;
  }

  /** Time until a replica's pause has ended, in ms; 0 if it isn't paused. */
  remainingMs(replica: string): number {
    const endsAt = this.#pauses.get(replica)?.endsAt ?? 0;
    return Math.max(0, endsAt - this.#options.clock.now());
  }

  /** Waits until a replica isn't paused; rejects when aborted. */
  async wait(replica: string, signal?: AbortSignal): Promise<void> {
    while (true) {
      const remainingMs = this.remainingMs(replica);
      if (remainingMs <= 0) return;
      await this.#options.sleep(remainingMs, signal);
    }
  }

  /** Removes all replicas but these. */
  retain(replicas: ReadonlySet<string>): void {
    for (const replica of this.#pauses.keys()) {
      if (!replicas.has(replica)) this.#pauses.delete(replica);
    }
  }
}
