import type { Clock } from "@banyanspool/types";

/** Time of a finished piece of work, beside what was predicted for it. */
export interface MeasuredWork {
  /** Predicted time at an average replica as usual, in ms. */
  readonly averageMs: number;
  /** Time that it took, in ms. */
  readonly elapsedMs: number;
}

interface Speed {
  /** Logarithm of the lasting slowdown. */
  lasting: number;
  /** Sums of times measured at the replica, weighed by `averageMs`. */
  measuredWeight: number;
  /** Mean of the stated slowdowns, and the latest deviation from it. */
  mean: number;
  deviation: number;
  statedAt: number;
}

/** Bounds of a stated or measured slowdown. */
const MIN_SLOWDOWN = 0.2;
const MAX_SLOWDOWN = 8;
/** Largest weight of a measurement, and its first weights' sum. */
const MEASURED_WEIGHT = 0.05;
const MAX_FIRST_WEIGHT = 0.2;
/** Work of this length has half of the largest weight, in ms. */
const HALF_WEIGHT_MS = 10;
/** Time over which stated slowdowns are averaged, in ms. */
const MEAN_WINDOW_MS = 2000;
/** A statement counts for this part of the window at most. */
const MAX_STATED_SPANS = 0.5;
/** Time after which a deviation from the mean is over, on average, in ms. */
const DEVIATION_MS = 150;
/** Weight of the newest statement in the latest deviation. */
const DEVIATION_WEIGHT = 0.5;
/** Time without a statement after which the mean fades, in ms. */
const MEAN_LIFETIME_MS = 10_000;

/**
 * How long work takes at each replica, as a multiple of what it takes at the
 * replicas of its service on average. It has a lasting part, learnt from times,
 * and a passing part, forecast from what the replica states.
 */
export class ReplicaSpeeds {
  readonly #clock: Clock;
  readonly #speeds: Map<string, Speed> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates speeds that are all equal. */
  static create({ clock }: { clock: Clock }): ReplicaSpeeds {
    return new ReplicaSpeeds(clock);
  }

  /** Number of replicas of which anything is known. */
  get size(): number {
    return this.#speeds.size;
  }

  /** Forgets a replica that has restarted or is gone. */
  remove(replica: string): void {
    this.#speeds.delete(replica);
  }

  /** Records a slowdown that a replica stated; 1 is as usual. */
  recordStated(replica: string, slowdown: number): void {
    const speed = this.#speedOf(replica);
    const now = this.#clock.now();
    const age = now - speed.statedAt;
    const bounded = clamp(slowdown);
    const mean = this.#meanOf(speed);
    const weight = 1 -
      Math.exp(-Math.min(age / MEAN_WINDOW_MS, MAX_STATED_SPANS));
    speed.mean = mean + weight * (bounded - mean);
    const remaining = speed.deviation * Math.exp(-age / DEVIATION_MS);
    speed.deviation = remaining +
      DEVIATION_WEIGHT * (bounded - speed.mean - remaining);
    speed.statedAt = now;
  }

  /** Records the time of work that has just ended. */
  recordMeasured(
    replica: string,
    { averageMs, elapsedMs }: MeasuredWork,
  ): void {
    if (!(averageMs > 0) || !(elapsedMs > 0)) return;
    const speed = this.#speedOf(replica);
    const share = averageMs / (averageMs + HALF_WEIGHT_MS);
    speed.measuredWeight += share;
    const weight = share *
      Math.max(
        MEASURED_WEIGHT,
        Math.min(MAX_FIRST_WEIGHT, 1 / (1 + speed.measuredWeight)),
      );
    const passing = this.#passing(speed, elapsedMs, elapsedMs);
    const lasting = Math.exp(speed.lasting);
    // Twice or half of what is known, at most: one late response says little.
    const ratio = Math.min(
      lasting * 2,
      Math.max(lasting / 2, elapsedMs / averageMs / passing),
    );
    speed.lasting += weight * (Math.log(clamp(ratio)) - speed.lasting);
  }

  /**
   * Forecast slowdown of work that starts now and takes some time at an average
   * replica, in ms.
   */
  forecast(replica: string, workMs: number): number {
    const speed = this.#speeds.get(replica);
    if (!speed) return 1;
    return clamp(Math.exp(speed.lasting) * this.#passing(speed, workMs, 0));
  }

  /** Mean stated slowdown from some time ago on, while work ran. */
  #passing(speed: Speed, workMs: number, startedAgoMs: number): number {
    const age = this.#clock.now() - startedAgoMs - speed.statedAt;
    const spans = Math.max(workMs, 1) / DEVIATION_MS;
    const averageShare = (1 - Math.exp(-spans)) / spans;
    const deviation = speed.deviation *
      Math.exp(-Math.max(0, age) / DEVIATION_MS);
    return clamp(this.#meanOf(speed) + deviation * averageShare);
  }

  /** Mean of the stated slowdowns, which fades to 1. */
  #meanOf({ mean, statedAt }: Speed): number {
    const age = this.#clock.now() - statedAt;
    return 1 + (mean - 1) * Math.exp(-age / MEAN_LIFETIME_MS);
  }

  #speedOf(replica: string): Speed {
    const existing = this.#speeds.get(replica);
    if (existing) return existing;
    const created = {
      lasting: 0,
      measuredWeight: 0,
      mean: 1,
      deviation: 0,
      statedAt: this.#clock.now() - MEAN_WINDOW_MS,
    };
    this.#speeds.set(replica, created);
    return created;
  }
}

function clamp(slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
}
