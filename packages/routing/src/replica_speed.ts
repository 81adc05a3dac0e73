import type { BackendServer, Clock } from "@banyanspool/types";
import {
  averageLastingOf,
  countRecent,
  createServiceSpeed,
  type LastingSpeed,
  remainingOf,
  removeLasting,
  SERVICE_WEIGHT,
  type ServiceSpeed,
} from "./service_speed.ts";

/** Time of a finished piece of work, beside what was predicted for it. */
export interface MeasuredWork {
  /** Predicted time at an average replica as usual, in ms. */
  readonly averageMs: number;
  /** Time that it took, in ms. */
  readonly elapsedMs: number;
  /** How well `averageMs` is known, from 0 to 1; 1 by default. */
  readonly certainty?: number;
}

/** A replica and its service. */
export type ReplicaOfService = Pick<BackendServer, "id" | "service">;

/** Work that is to be forecast. */
interface PassingWork {
  /** Its length, in ms. */
  readonly workMs: number;
  /** How long ago it started, in ms. */
  readonly startedAgoMs: number;
}

interface Speed extends LastingSpeed {
  readonly service: string;
  /** Mean of the stated slowdowns. */
  mean: number;
  /** Latest deviation from the mean. */
  deviation: number;
  statedAt: number;
}

/** Least stated or measured slowdown. */
const MIN_SLOWDOWN = 0.2;
/** Largest stated or measured slowdown. */
const MAX_SLOWDOWN = 8;
/** Weight of a measurement at a replica that has been measured often. */
const MEASURED_WEIGHT = 0.05;
/** Largest weight of the first measurements at a replica. */
const MAX_FIRST_WEIGHT = 0.2;
/** A replica with this `measuredWeight` counts half as itself. */
const HALF_KNOWN_WEIGHT = 3;
/** Work of this length has half of the largest weight, in ms. */
const HALF_WEIGHT_MS = 10;
/** Work is much slower than known from this multiple of the slowdown on. */
const MUCH_SLOWER = 1.5;
/** Time over which stated slowdowns are averaged, in ms. */
const MEAN_WINDOW_MS = 2000;
/** A stated slowdown counts for this part of the window at most. */
const MAX_STATED_SPANS = 0.5;
/** Time after which a deviation from the mean is over, on average, in ms. */
const DEVIATION_MS = 150;
/** Weight of the newest stated slowdown in the latest deviation. */
const DEVIATION_WEIGHT = 0.5;
/** Time without a stated slowdown after which the mean fades, in ms. */
const MEAN_LIFETIME_MS = 10_000;

/**
 * How long work takes at each replica, as a multiple of what it takes at the
 * replicas of its service on average. It has a lasting part, learnt from times,
 * and a passing part, forecast from what the replica states.
 */
export class ReplicaSpeeds {
  readonly #clock: Clock;
  readonly #speeds: Map<string, Speed> = new Map();
  readonly #services: Map<string, ServiceSpeed> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates speeds that are all equal. */
  static create({ clock }: { clock: Clock }): ReplicaSpeeds {
    return new ReplicaSpeeds(clock);
  }

  /** Forgets a replica that has restarted or is gone. */
  remove(replica: string): void {
    const speed = this.#speeds.get(replica);
    if (!speed) return;
    this.#speeds.delete(replica);
    const average = this.#services.get(speed.service)!;
    removeLasting(speed, average, this.#clock.now());
    average.replicas -= 1;
    if (average.replicas === 0) this.#services.delete(speed.service);
  }

  /** Records a slowdown that a replica stated; 1 is as usual. */
  recordStated(replica: ReplicaOfService, slowdown: number): void {
    const speed = this.#speedOf(replica);
    const now = this.#clock.now();
    const age = now - speed.statedAt;
    const bounded = clamp(slowdown);
    const mean = this.#meanOf(speed);
    const weight = 1 -
      Math.exp(-Math.min(age / MEAN_WINDOW_MS, MAX_STATED_SPANS));
    speed.mean = mean + weight * (bounded - mean);
    const average = this.#services.get(speed.service)!;
    average.mean = this.#meanOf(average);
    average.mean += SERVICE_WEIGHT * (speed.mean - average.mean);
    average.statedAt = now;
    const remaining = speed.deviation * Math.exp(-age / DEVIATION_MS);
    speed.deviation = remaining +
      DEVIATION_WEIGHT * (bounded - speed.mean - remaining);
    speed.statedAt = now;
  }

  /** Records the time of work that has just ended. */
  recordMeasured(
    replica: ReplicaOfService,
    { averageMs, elapsedMs, certainty = 1 }: MeasuredWork,
  ): void {
    if (!(averageMs > 0) || !(elapsedMs > 0)) return;
    const speed = this.#speedOf(replica);
    const now = this.#clock.now();
    const average = this.#services.get(speed.service)!;
    const before = this.#lastingOf(speed);
    const lasting = Math.exp(before);
    const passing = this.#passing(speed, {
      workMs: elapsedMs,
      startedAgoMs: elapsedMs,
    });
    const measured = elapsedMs / averageMs / passing;
    const isMuchSlower = measured > lasting * MUCH_SLOWER;
    const share = certainty * averageMs / (averageMs + HALF_WEIGHT_MS) *
      countRecent(speed, average, isMuchSlower);
    removeLasting(speed, average, now);
    speed.measuredWeight *= remainingOf(now - (speed.measuredAt ?? now));
    speed.measuredWeight += share;
    const weight = share *
      Math.max(
        MEASURED_WEIGHT,
        Math.min(MAX_FIRST_WEIGHT, 1 / (1 + speed.measuredWeight)),
      );
    // Twice or half of what is known, at most: one late response says little.
    const ratio = Math.min(
      lasting * 2,
      Math.max(lasting / 2, measured),
    );
    speed.lasting = average.taken + before +
      weight * (Math.log(clamp(ratio)) - before);
    speed.measuredAt = now;
    average.lastingSum += speed.measuredWeight * speed.lasting;
    average.weightSum += speed.measuredWeight;
  }

  /**
   * Takes out the slowdown that a service's measured replicas have on average,
   * for the caller to add to what it expects of the service.
   */
  takeShared(service: string): number {
    const average = this.#services.get(service);
    if (!average) return 1;
    const shared = averageLastingOf(average);
    average.taken += shared;
    return Math.exp(shared);
  }

  /**
   * Forecast slowdown of work that starts now and takes some time at an average
   * replica, in ms.
   */
  forecast(replica: ReplicaOfService, workMs: number): number {
    const speed = this.#speeds.get(replica.id) ??
      this.#createSpeed(replica.service);
    const passing = this.#passing(speed, { workMs, startedAgoMs: 0 });
    return clamp(Math.exp(this.#knownLastingOf(speed)) * passing);
  }

  /** Lasting slowdown's logarithm, near the average after few measurements. */
  #knownLastingOf(speed: Speed): number {
    const { service, measuredAt, measuredWeight } = speed;
    const average = this.#services.get(service);
    if (!average || measuredAt === undefined) return this.#lastingOf(speed);
    const shared = averageLastingOf(average);
    const weight = measuredWeight * remainingOf(this.#clock.now() - measuredAt);
    const known = weight / (weight + HALF_KNOWN_WEIGHT);
    return shared + (this.#lastingOf(speed) - shared) * known;
  }

  /** Lasting slowdown's logarithm, which fades to the service's average. */
  #lastingOf({ service, lasting, measuredAt }: Speed): number {
    const average = this.#services.get(service);
    if (!average) return 0;
    const shared = averageLastingOf(average);
    if (measuredAt === undefined) return shared;
    const own = lasting - average.taken - shared;
    return shared + own * remainingOf(this.#clock.now() - measuredAt);
  }

  /** Mean stated slowdown from some time ago on, while work ran. */
  #passing(speed: Speed, { workMs, startedAgoMs }: PassingWork): number {
    const age = this.#clock.now() - startedAgoMs - speed.statedAt;
    const spans = Math.max(workMs, 1) / DEVIATION_MS;
    const averageShare = (1 - Math.exp(-spans)) / spans;
    const deviation = speed.deviation *
      Math.exp(-Math.max(0, age) / DEVIATION_MS);
    return clamp(this.#meanOf(speed) + deviation * averageShare);
  }

  /** Mean of the stated slowdowns, which fades to 1. */
  #meanOf({ mean, statedAt }: Pick<Speed, "mean" | "statedAt">): number {
    const age = this.#clock.now() - statedAt;
    return 1 + (mean - 1) * Math.exp(-age / MEAN_LIFETIME_MS);
  }

  #speedOf({ id, service }: ReplicaOfService): Speed {
    const existing = this.#speeds.get(id);
    if (existing) return existing;
    const created = this.#createSpeed(service);
    this.#speeds.set(id, created);
    const average = this.#services.get(service) ??
      createServiceSpeed(this.#clock.now());
    average.replicas += 1;
    this.#services.set(service, average);
    return created;
  }

  /** Assumes the service's average of a replica of which nothing is known. */
  #createSpeed(service: string): Speed {
    const now = this.#clock.now();
    const average = this.#services.get(service);
    return {
      service,
      lasting: 0,
      measuredWeight: 0,
      recentShare: 0,
      measuredCount: 0,
      mean: average ? this.#meanOf(average) : 1,
      deviation: 0,
      statedAt: now - MEAN_WINDOW_MS,
    };
  }
}

function clamp(slowdown: number): number {
  return Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, slowdown));
}
