import type { Clock } from "@banyanspool/types";

/** Time over which calls to engines count, in ms. */
const WINDOW_MS = 3000;
/** Fewest engines called in that time from which anything is concluded. */
const MIN_ENGINES = 4;
/** Share of unanswered engines above which the fault is taken to be here. */
const CUT_OFF_SHARE = 0.6;

interface EngineCalls {
  answeredAt: number;
  unansweredAt: number;
}

/**
 * Tells a gateway whose calls most engines leave unanswered, as on a choked or
 * cut link of its own, from one at which a few engines fail.
 */
export class EngineReach {
  readonly #clock: Clock;
  readonly #calls: Map<string, EngineCalls> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a reach without calls. */
  static create({ clock }: { clock: Clock }): EngineReach {
    return new EngineReach(clock);
  }

  /** Records whether a call to a replica's engine was answered. */
  record(replica: string, isAnswered: boolean): void {
    const calls = this.#calls.get(replica) ??
      { answeredAt: -Infinity, unansweredAt: -Infinity };
    const now = this.#clock.now();
    if (isAnswered) calls.answeredAt = now;
    else calls.unansweredAt = now;
    this.#calls.set(replica, calls);
  }

  /** Discards all calls, as after a change of the lease. */
  clear(): void {
    this.#calls.clear();
  }

  /** Whether most engines called in the last seconds gave no answer at all. */
  get isCutOff(): boolean {
    const since = this.#clock.now() - WINDOW_MS;
    let called = 0;
    let silent = 0;
    for (const { answeredAt, unansweredAt } of this.#calls.values()) {
      if (answeredAt >= since) called += 1;
      else if (unansweredAt >= since) {
        called += 1;
        silent += 1;
      }
    }
    return called >= MIN_ENGINES && silent > called * CUT_OFF_SHARE;
  }
}
