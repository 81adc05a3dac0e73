import type { Clock } from "@banyanspool/types";

/** Requests in a stated load, beside those that are counted at the replica. */
export interface ReportedBacklog {
  /** Requests running and waiting at the replica. */
  readonly stated: number;
  /** This gateway's requests that are counted there now. */
  readonly own: number;
  /** Those that have ended since the request of the stated load was sent. */
  readonly ended: number;
  /** Those counted there now that may not be in the stated load. */
  readonly uncertain: number;
  /** Other gateways' requests that are counted there now. */
  readonly others: number;
}

interface OthersRequests {
  readonly requests: number;
  readonly at: number;
}

/** Time in which a stated load loses its weight, in ms. */
const REPORT_LIFETIME_MS = 500;

/**
 * What other gateways have in flight at each replica, from its stated loads.
 * These tell the sum only, at some moment after its request was sent.
 */
export class ReportedBacklogs {
  readonly #clock: Clock;
  readonly #others: Map<string, OthersRequests> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates backlogs without stated loads. */
  static create({ clock }: { clock: Clock }): ReportedBacklogs {
    return new ReportedBacklogs(clock);
  }

  /** Forgets a replica that has restarted or is gone. */
  remove(replica: string): void {
    this.#others.delete(replica);
  }

  /** Records a stated load that has just arrived. */
  record(
    replica: string,
    { stated, own, ended, uncertain, others }: ReportedBacklog,
  ): void {
    const least = Math.max(0, stated - own - ended);
    const most = Math.max(least, stated - own + uncertain);
    this.#others.set(replica, {
      requests: Math.min(most, Math.max(least, others)),
      at: this.#clock.now(),
    });
  }

  /**
   * Requests that other gateways have in flight at a replica, given those that
   * they reported themselves, which count more the older the stated load is.
   */
  othersAt(replica: string, reportedByOthers: number): number {
    const known = this.#others.get(replica);
    if (!known) return reportedByOthers;
    const age = this.#clock.now() - known.at;
    const weight = Math.max(0, 1 - age / REPORT_LIFETIME_MS);
    return weight * known.requests + (1 - weight) * reportedByOthers;
  }
}
