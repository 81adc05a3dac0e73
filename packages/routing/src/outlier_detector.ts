import type { Clock } from "@banyanspool/types";

/** Outcome of one request at a replica. */
export type Observation = "success" | "failure";

/** Options of {@link OutlierDetector.create}. */
export interface OutlierDetectorOptions {
  /** Time source. */
  readonly clock: Clock;
}

interface ReplicaRecord {
  failureRate: number;
  observations: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
  lastFailureAt: number;
}

/** Weight of the newest observation in a replica's failure rate. */
const SMOOTHING = 0.15;
/** Observations needed before a failure rate is compared with the others. */
const MIN_OBSERVATIONS = 6;
/**
 * A replica is an outlier if its failure rate is above twice the median rate
 * of the other replicas of its service plus this margin.
 */
const FAILURE_RATE_MARGIN = 0.2;
/**
 * Consecutive failures that eject a replica at once, unless the median failure
 * rate of the others is 0.5 or more.
 */
const CONSECUTIVE_LIMIT = 3;
const FIRST_EJECTION_MS = 2000;
const MAX_EJECTION_MS = 15_000;
/** Time without failures after which the ejection time starts over. */
const EJECTION_RESET_MS = 20_000;

/**
 * Ejects replicas that fail much more often than the others of their service.
 * Only real requests count: health checks can pass on a broken replica and
 * fail on a working one. An ejection ends after a time that doubles with each
 * repetition, up to a limit, and the replica's failure rate then starts at 0.
 * Callers use ejected replicas if no others are left.
 */
export class OutlierDetector {
  readonly #clock: Clock;
  readonly #services: Map<string, Map<string, ReplicaRecord>> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a detector without observations. */
  static create({ clock }: OutlierDetectorOptions): OutlierDetector {
    return new OutlierDetector(clock);
  }

  /** Records an observation. Returns true if it ejects the replica. */
  record(
    service: string,
    { replica, observation }: { replica: string; observation: Observation },
  ): boolean {
    const record = this.#recordOf(service, replica);
    const failed = observation === "failure";
    record.observations += 1;
    record.failureRate += SMOOTHING * (Number(failed) - record.failureRate);
    if (!failed) {
      record.consecutiveFailures = 0;
      return false;
    }
    record.consecutiveFailures += 1;
    const now = this.#clock.now();
    if (now - record.lastFailureAt > EJECTION_RESET_MS) record.ejections = 0;
    record.lastFailureAt = now;
    if (this.#isEjected(record) || !this.#isOutlier(service, record)) {
      return false;
    }
    this.#eject(record);
    return true;
  }

  /** Whether a replica is ejected now; false for an unknown replica. */
  isEjected(service: string, replica: string): boolean {
    const record = this.#services.get(service)?.get(replica);
    return record !== undefined && this.#isEjected(record);
  }

  /**
   * Failure rate of a replica, from 0 to 1, as an exponential moving average;
   * 0 for an unknown replica.
   */
  failureRate(service: string, replica: string): number {
    return this.#services.get(service)?.get(replica)?.failureRate ?? 0;
  }

  /** Removes the record of a replica that is gone or has restarted. */
  remove(service: string, replica: string): void {
    this.#services.get(service)?.delete(replica);
  }

  #recordOf(service: string, replica: string): ReplicaRecord {
    let records = this.#services.get(service);
    if (!records) {
      records = new Map();
      this.#services.set(service, records);
    }
    let record = records.get(replica);
    if (!record) {
      record = {
        failureRate: 0,
        observations: 0,
        consecutiveFailures: 0,
        ejections: 0,
        ejectedUntil: -Infinity,
        lastFailureAt: -Infinity,
      };
      records.set(replica, record);
    }
    return record;
  }

  #isEjected(record: ReplicaRecord): boolean {
    return record.ejectedUntil > this.#clock.now();
  }

  #isOutlier(service: string, record: ReplicaRecord): boolean {
    const median = this.#medianRate(service, record);
    if (record.consecutiveFailures >= CONSECUTIVE_LIMIT) return median < 0.5;
    if (record.observations < MIN_OBSERVATIONS) return false;
    return record.failureRate > median * 2 + FAILURE_RATE_MARGIN;
  }

  #medianRate(service: string, except: ReplicaRecord): number {
    const rates: number[] = [];
    for (const record of this.#services.get(service)?.values() ?? []) {
      if (record !== except && record.observations > 0) {
        rates.push(record.failureRate);
      }
    }
    if (rates.length === 0) return 0;
    rates.sort((a, b) => a - b);
    return rates[Math.floor(rates.length / 2)]!;
  }

  #eject(record: ReplicaRecord): void {
    const durationMs = FIRST_EJECTION_MS * 2 ** record.ejections;
    record.ejections += 1;
    record.ejectedUntil = this.#clock.now() +
      Math.min(durationMs, MAX_EJECTION_MS);
    record.consecutiveFailures = 0;
    record.failureRate = 0;
    record.observations = 0;
  }
}
