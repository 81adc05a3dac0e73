import type { Clock } from "@banyanspool/types";

/** Requests that a replica reported, beside those that are counted there. */
export interface ReportedBacklog {
  /** Requests running and waiting at the replica. */
  readonly reported: number;
  /** This gateway's requests that are counted there now. */
  readonly own: number;
  /** Those that have ended since the request of the stated load was sent. */
  readonly ended: number;
  /** Those of them that may not be in the report. */
  readonly uncertain: number;
  /** Other gateways' requests that are counted there now. */
  readonly others: number;
}

interface OthersReport {
  readonly requests: number;
  readonly at: number;
}

/** Time in which a replica's report loses its weight, in ms. */
const REPORT_LIFETIME_MS = 500;

/**
 * What other gateways have in flight at each replica, from the replica's reports.
 * A report tells the sum only, at some moment after its request was sent.
 */
export class ReportedBacklogs {
  readonly #clock: Clock;
  readonly #others: Map<string, OthersReport> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates backlogs without reports. */
  static create({ clock }: { clock: Clock }): ReportedBacklogs {
    return new ReportedBacklogs(clock);
  }

  /** Forgets a replica that has restarted or is gone. */
  remove(replica: string): void {
    this.#others.delete(replica);
  }

  /** Records a report that has just arrived. */
  record(
    replica: string,
    { reported, own, ended, uncertain, others }: ReportedBacklog,
  ): void {
    const least = Math.max(0, reported - own - ended);
    const most = Math.max(least, reported - own + uncertain);
    this.#others.set(replica, {
      requests: Math.min(most, Math.max(least, others)),
      at: this.#clock.now(),
    });
  }

  /**
   * Requests that other gateways have in flight at a replica, given those that
   * they reported themselves, which count more the older the replica's report is.
   */
  othersAt(replica: string, reportedByOthers: number): number {
    const report = this.#others.get(replica);
    if (!report) return reportedByOthers;
    const age = this.#clock.now() - report.at;
    const weight = Math.max(0, 1 - age / REPORT_LIFETIME_MS);
    return weight * report.requests + (1 - weight) * reportedByOthers;
  }
}
