import type { Clock, Random } from "@banyanspool/types";

/** Options of {@link ListReadSchedule.create}. */
export interface ListReadScheduleOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Gateways that were heard lately, this one included. */
  readonly liveCount: () => number;
}

/**
 * A read of the list is due this long after the last one by any gateway, in
 * ms: with the time that news need between gateways, half of the two seconds
 * in which a leaving replica must be noticed.
 */
const SHORTEST_GAP_MS = 450;
/**
 * Up to this much for each gateway is drawn on top, in ms. The first of them
 * all then reads about as much later, and the others hear of it in time.
 */
const GAP_SPREAD_MS = 150;
/** A gateway reads the whole list itself this often, whatever it hears. */
const LONGEST_OWN_GAP_MS = 5000;

/**
 * When this gateway should read the list of replicas. Whoever reads tells the
 * others what changed; so a read is due when nobody has read for a while, and
 * gateways that were in step, as after an outage, fall out of it.
 */
export class ListReadSchedule {
  readonly #options: ListReadScheduleOptions;
  #ownAt = -Infinity;
  #othersAt = -Infinity;
  #gapMs: number = SHORTEST_GAP_MS;

  private constructor(options: ListReadScheduleOptions) {
    this.#options = options;
  }

  /** Creates the record of a process that has read nothing. */
  static create(options: ListReadScheduleOptions): ListReadSchedule {
    return new ListReadSchedule(options);
  }

  /** Notes that this gateway has read the list as it was at a time. */
  recordOwnRead(at: number): void {
    this.#ownAt = at;
    this.#gapMs = this.#drawGap();
  }

  /** Notes how long ago another gateway says it has read the list, in ms. */
  recordPeerRead(ageMs: number): void {
    const at = this.#options.clock.now() - ageMs;
    if (at <= this.#othersAt) return;
    this.#othersAt = at;
    this.#gapMs = this.#drawGap();
  }

  /** Time since this gateway's own last read, in ms; undefined for never. */
  get ownAgeMs(): number | undefined {
    if (this.#ownAt === -Infinity) return undefined;
    return this.#options.clock.now() - this.#ownAt;
  }

  /** Time until the next read is due, in ms; 0 if it is. */
  get dueInMs(): number {
    const lastAt = Math.max(this.#ownAt, this.#othersAt);
    const dueAt = Math.min(
      lastAt + this.#gapMs,
      this.#ownAt + LONGEST_OWN_GAP_MS,
    );
    return Math.max(0, dueAt - this.#options.clock.now());
  }

  #drawGap(): number {
    const { random, liveCount } = this.#options;
    return SHORTEST_GAP_MS + GAP_SPREAD_MS * liveCount() * random();
  }
}
