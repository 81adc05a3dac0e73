/** Weight of the newest measurement of a replica among those of its service. */
export const SERVICE_WEIGHT = 0.05;
/** Time without a measurement after which a lasting slowdown fades, in ms. */
const LASTING_LIFETIME_MS = 30_000;
/** Least weight of a measurement that is much slower than is known. */
const MIN_SLOWER_WEIGHT = 0.2;
/** Below this sum of weights a service counts as not measured. */
const MIN_WEIGHT_SUM = 1e-6;

/** Lasting slowdown of one replica. */
export interface LastingSpeed {
  /** Logarithm of the lasting slowdown, with all that was taken out. */
  lasting: number;
  /** Undefined before the first measurement. */
  measuredAt?: number;
  /** Number of measurements, of which short ones count less. */
  measuredWeight: number;
  /** Share of the service's latest measurements that are of this replica. */
  recentShare: number;
  /** The service's `measurements` when it was measured. */
  measuredCount: number;
}

/** What is known of a service's replicas on average. */
export interface ServiceSpeed {
  /** Replicas of which anything is known. */
  replicas: number;
  measurements: number;
  /**
   * Sum of the replicas' `lasting`, each times its `measuredWeight`, which falls
   * with the time since it was measured.
   */
  lastingSum: number;
  /** Sum of the replicas' `measuredWeight`. */
  weightSum: number;
  measuredAt: number;
  /** What their average was when it was last taken out. */
  taken: number;
  /** Moving average of the replicas' `mean`. */
  mean: number;
  statedAt: number;
}

/** Creates the state of a service of which nothing was measured. */
export function createServiceSpeed(now: number): ServiceSpeed {
  return {
    replicas: 0,
    measurements: 0,
    lastingSum: 0,
    weightSum: 0,
    measuredAt: now,
    taken: 0,
    mean: 1,
    statedAt: now,
  };
}

/** Removes a replica from the sums of its service. */
export function removeLasting(
  { lasting, measuredAt, measuredWeight }: LastingSpeed,
  average: ServiceSpeed,
  now: number,
): void {
  const remaining = remainingOf(now - average.measuredAt);
  average.lastingSum *= remaining;
  average.weightSum *= remaining;
  average.measuredAt = now;
  if (measuredAt === undefined) return;
  const weight = measuredWeight * remainingOf(now - measuredAt);
  average.lastingSum -= weight * lasting;
  average.weightSum -= weight;
}

/**
 * Counts a measurement, and returns how much it says of the replica in
 * comparison: nothing if no sibling was measured lately, unless it is much
 * slower than is known.
 */
export function countRecent(
  speed: LastingSpeed,
  average: ServiceSpeed,
  isMuchSlower: boolean,
): number {
  average.measurements += 1;
  const passed = average.measurements - speed.measuredCount;
  speed.measuredCount = average.measurements;
  speed.recentShare *= (1 - SERVICE_WEIGHT) ** passed;
  speed.recentShare += SERVICE_WEIGHT;
  const ownShare = speed.recentShare /
    (1 - (1 - SERVICE_WEIGHT) ** average.measurements);
  const isFloored = isMuchSlower && average.replicas > 1;
  const least = isFloored ? MIN_SLOWER_WEIGHT : 0;
  return Math.min(1, Math.max(least, 2 * (1 - ownShare)));
}

/** Average of the lasting slowdowns that hasn't been taken out. */
export function averageLastingOf(
  { lastingSum, weightSum, taken }: ServiceSpeed,
): number {
  return weightSum < MIN_WEIGHT_SUM ? 0 : lastingSum / weightSum - taken;
}

/** Share of a lasting slowdown that remains without a measurement. */
export function remainingOf(ageMs: number): number {
  return Math.exp(-ageMs / LASTING_LIFETIME_MS);
}
