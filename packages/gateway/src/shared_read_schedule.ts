import type { Clock, Random } from "@banyanspool/types";

/** Options of {@link SharedReadSchedule.create}. */
export interface SharedReadScheduleOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Number of live gateways, including this one. */
  readonly liveCount: () => number;
}

/**
 * Minimum time between two reads of the table by any gateway, in ms. Together
 * with the time that a change takes to reach the other gateways, this is half
 * of the two seconds within which a change must be noticed.
 */
const MIN_GAP_MS = 450;
/**
 * Maximum jitter for each live gateway, in ms; it is added to the minimum gap.
 * The earliest of the gateways then reads about this much after the minimum,
 * and the others receive the changes before their own reads are due.
 */
const GAP_JITTER_PER_GATEWAY_MS = 150;
/**
 * Maximum time between two own reads, in ms, unless a gateway that has read the
 * table knows the same content.
 */
const MAX_OWN_GAP_MS = 5000;
/**
 * Time for the changes that another gateway has read to arrive, in ms. After it,
 * this gateway reads the table itself, as the changes may be lost.
 */
const MAX_DIFFERENCE_MS = 700;

/**
 * Decides when this gateway reads a table next. A gateway that reads it tells the
 * others what is new, so a read is due only when no gateway has read the table for
 * some time. The jitter spreads the reads of gateways that were synchronised, for
 * example after a store outage.
 */
export class SharedReadSchedule {
  readonly #options: SharedReadScheduleOptions;
  #lastOwnReadAt = -Infinity;
  #lastPeerReadAt = -Infinity;
  #verifiedAt = -Infinity;
  /** Since when a gateway that read it later has known a different content. */
  #differentSince = Infinity;
  #gapMs: number = MIN_GAP_MS;

  private constructor(options: SharedReadScheduleOptions) {
    this.#options = options;
  }

  /** Creates a schedule without reads; the first one is due immediately. */
  static create(options: SharedReadScheduleOptions): SharedReadSchedule {
    return new SharedReadSchedule(options);
  }

  /** Records that this gateway has read the table as of the given time. */
  recordOwnRead(at: number): void {
    this.#lastOwnReadAt = at;
    this.#differentSince = Infinity;
    this.#gapMs = this.#drawGap();
  }

  /** Records how long ago another gateway read the table, in ms. */
  recordPeerRead(ageMs: number): void {
    const at = this.#options.clock.now() - ageMs;
    if (at <= this.#lastPeerReadAt) return;
    this.#lastPeerReadAt = at;
    this.#gapMs = this.#drawGap();
  }

  /**
   * Records that another gateway, which read the table some time ago, in ms,
   * knows the same content. This counts like an own read.
   */
  recordEqualRead(ageMs: number): void {
    const at = this.#options.clock.now() - ageMs;
    if (at <= this.#verifiedAt) return;
    this.#verifiedAt = at;
    this.#differentSince = Infinity;
  }

  /**
   * Records that another gateway, which read the table some time ago, in ms,
   * knows a different content.
   */
  recordDifferentRead(ageMs: number): void {
    const now = this.#options.clock.now();
    if (now - ageMs <= Math.max(this.#lastOwnReadAt, this.#verifiedAt)) return;
    this.#differentSince = Math.min(this.#differentSince, now);
  }

  /** Time since this gateway's last own read, in ms; undefined before it. */
  get ownAgeMs(): number | undefined {
    if (this.#lastOwnReadAt === -Infinity) return undefined;
    return this.#options.clock.now() - this.#lastOwnReadAt;
  }

  /** Time until the next read is due, in ms; 0 if it is due now. */
  get dueInMs(): number {
    const lastAt = Math.max(this.#lastOwnReadAt, this.#lastPeerReadAt);
    const dueAt = Math.min(
      lastAt + this.#gapMs,
      Math.max(this.#lastOwnReadAt, this.#verifiedAt) + MAX_OWN_GAP_MS,
      this.#differentSince + MAX_DIFFERENCE_MS,
    );
    return Math.max(0, dueAt - this.#options.clock.now());
  }

  #drawGap(): number {
    const { random, liveCount } = this.#options;
    return MIN_GAP_MS + GAP_JITTER_PER_GATEWAY_MS * liveCount() * random();
  }
}
