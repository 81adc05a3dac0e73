import type { Clock } from "@banyanspool/types";

/** A replica's limit as a gateway observed it last. */
export interface LimitObservation {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Requests a second; undefined once the replica no longer names a limit. */
  readonly ratePerS?: number;
  /** Time since the observation, in ms. */
  readonly ageMs: number;
}

/** What a response tells of its replica's limit. */
export interface LimitNotice {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Requests a second; undefined if the response names no limit. */
  readonly ratePerS: number | undefined;
  /** When the request was sent, in ms. */
  readonly sentAt: number;
}

/** Options of {@link LimitTable.create}. */
export interface LimitTableOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Called when a response has changed what is known of a replica's limit. */
  readonly onChange: (replica: string, ratePerS: number | undefined) => void;
}

interface Entry {
  ratePerS: number | undefined;
  observedAt: number;
  /** Whether a response to this gateway told it. */
  isOwn: boolean;
}

/** Time for which the end of a limit is reported, in ms. */
const REPORT_END_MS = 10_000;

/**
 * The limits that replicas name in their responses, as this and other gateways
 * observed them. The newest observation counts. A response tells the state of
 * its replica after its request was sent, so one to a request from before the
 * last observation can't lift or raise a limit.
 */
export class LimitTable {
  readonly #options: LimitTableOptions;
  readonly #entries: Map<string, Entry> = new Map();

  private constructor(options: LimitTableOptions) {
    this.#options = options;
  }

  /** Creates a table without limits. */
  static create(options: LimitTableOptions): LimitTable {
    return new LimitTable(options);
  }

  /** Limit of a replica, in requests a second; undefined if it has none. */
  get(replica: string): number | undefined {
    return this.#entries.get(replica)?.ratePerS;
  }

  /** Whether any replica has a limit. */
  get hasLimits(): boolean {
    for (const { ratePerS } of this.#entries.values()) {
      if (ratePerS !== undefined) return true;
    }
    return false;
  }

  /** Records what a response to this gateway tells. */
  record({ replica, ratePerS, sentAt }: LimitNotice): void {
    const known = this.#entries.get(replica);
    if (!known && ratePerS === undefined) return;
    if (known && sentAt <= known.observedAt) {
      const isLower = ratePerS !== undefined &&
        ratePerS < (known.ratePerS ?? Infinity);
      if (!isLower) return;
    }
    const observedAt = this.#options.clock.now();
    this.#entries.set(replica, { ratePerS, observedAt, isOwn: true });
    if (known?.ratePerS === ratePerS) return;
    this.#options.onChange(replica, ratePerS);
  }

  /** Applies what another gateway observed. */
  applyReport(observations: readonly LimitObservation[]): void {
    const now = this.#options.clock.now();
    for (const { replica, ratePerS, ageMs } of observations) {
      const observedAt = now - ageMs;
      const known = this.#entries.get(replica);
      if (known && known.observedAt >= observedAt) continue;
      this.#entries.set(replica, { ratePerS, observedAt, isOwn: false });
    }
  }

  /** Returns what this gateway observed and no other has observed since. */
  report(): LimitObservation[] {
    const now = this.#options.clock.now();
    const observations: LimitObservation[] = [];
    for (const [replica, { ratePerS, observedAt, isOwn }] of this.#entries) {
      const ageMs = now - observedAt;
      if (!isOwn) continue;
      if (ratePerS === undefined && ageMs > REPORT_END_MS) continue;
      observations.push({ replica, ratePerS, ageMs });
    }
    return observations;
  }

  /** Removes all replicas but these. */
  retain(replicas: ReadonlySet<string>): void {
    for (const replica of this.#entries.keys()) {
      if (!replicas.has(replica)) this.#entries.delete(replica);
    }
  }
}
