import type { Clock } from "@banyanspool/types";

/** What a request saw of a replica. */
export type Observation = "success" | "failure";

/** Options of {@link OutlierDetector.create}. */
export interface OutlierDetectorOptions {
  /** Time source. */
  readonly clock: Clock;
}

interface Record {
  failureRate: number;
  observations: number;
  consecutiveFailures: number;
  ejections: number;
  ejectedUntil: number;
  lastFailureAt: number;
}

/** Weight of the newest observation in a replica's failure rate. */
const SMOOTHING = 0.15;
/** Observations before a failure rate says anything. */
const MIN_OBSERVATIONS = 6;
/** A replica is an outlier this far above its service's failure rate. */
const RATE_MARGIN = 0.2;
/** Failures in a row that eject a replica at once. */
const CONSECUTIVE_LIMIT = 3;
const FIRST_EJECTION_MS = 2000;
const LONGEST_EJECTION_MS = 15_000;
/** A time without failures after which earlier ejections are forgotten. */
const FORGIVE_AFTER_MS = 20_000;

/**
 * Ejects replicas that fail much more often than the others of their service,
 * judged by real requests only: health answers may be wrong either way. An
 * ejected replica comes back after a while and is judged anew. The caller
 * goes on using ejected replicas where no others are left.
 */
export class OutlierDetector {
  readonly #clock: Clock;
  readonly #services: Map<string, Map<string, Record>> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a detector that has seen nothing. */
  static create({ clock }: OutlierDetectorOptions): OutlierDetector {
    return new OutlierDetector(clock);
  }

  /** Counts an observation; returns true if it ejects the replica. */
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
    if (now - record.lastFailureAt > FORGIVE_AFTER_MS) record.ejections = 0;
    record.lastFailureAt = now;
    if (this.#isEjected(record) || !this.#isOutlier(service, record)) {
      return false;
    }
    this.#eject(record);
    return true;
  }

  /** Whether a replica is ejected now. */
  isEjected(service: string, replica: string): boolean {
    const record = this.#services.get(service)?.get(replica);
    return record !== undefined && this.#isEjected(record);
  }

  /** Failure rate of a replica, from 0 to 1. */
  failureRate(service: string, replica: string): number {
    return this.#services.get(service)?.get(replica)?.failureRate ?? 0;
  }

  /** Forgets a replica that is gone or has started anew. */
  remove(service: string, replica: string): void {
    this.#services.get(service)?.delete(replica);
  }

  #recordOf(service: string, replica: string): Record {
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

  #isEjected(record: Record): boolean {
    return record.ejectedUntil > this.#clock.now();
  }

  #isOutlier(service: string, record: Record): boolean {
    const others = this.#medianRate(service, record);
    if (record.consecutiveFailures >= CONSECUTIVE_LIMIT) return others < 0.5;
    if (record.observations < MIN_OBSERVATIONS) return false;
    return record.failureRate > others * 2 + RATE_MARGIN;
  }

  #medianRate(service: string, except: Record): number {
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

  #eject(record: Record): void {
    const lengthMs = FIRST_EJECTION_MS * 2 ** record.ejections;
    record.ejections += 1;
    record.ejectedUntil = this.#clock.now() +
      Math.min(lengthMs, LONGEST_EJECTION_MS);
    record.consecutiveFailures = 0;
    record.failureRate = 0;
    record.observations = 0;
  }
}
