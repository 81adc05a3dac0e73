import type {
  Clock,
  DaemonIdentity,
  ModelDemand,
  ReplicaReport,
} from "@banyanspool/types";

/** Options of {@link Collector.create}. */
export interface CollectorOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Incarnation of the collecting daemon. */
  readonly incarnation: number;
  /** Age at which a report is dropped, in ms. */
  readonly expireAfterMs: number;
  /** Most reports in one answer; the rest follow with the next. */
  readonly maxReportsPerAnswer: number;
}

/** A daemon that has synced with this collector. */
export interface SyncedDaemon {
  /** Who it is. */
  readonly daemon: DaemonIdentity;
  /** Configuration version that it has in force. */
  readonly configVersion: number;
  /** Monotonic time of its last sync. */
  readonly at: number;
  /** Demand that it sees, if it is an entry. */
  readonly demand: readonly ModelDemand[];
}

/** Reports that changed since a cursor. */
export interface ReportChanges {
  /** Changed reports, the oldest change first. */
  readonly reports: readonly ReplicaReport[];
  /** Replicas that are gone since. */
  readonly gone: readonly string[];
  /** Cursor of the next call. */
  readonly cursor: number;
}

interface StoredReport {
  readonly report: ReplicaReport;
  readonly change: number;
  readonly at: number;
  readonly direct: boolean;
  readonly gone: boolean;
}

/**
 * Soft state of a data centre's collector: the newest report of each replica
 * in order of change, and the daemons that synced lately. It is rebuilt from
 * the next syncs wherever the ranking puts it.
 */
export class Collector {
  readonly #options: CollectorOptions;
  readonly #reports: Map<string, StoredReport> = new Map();
  readonly #daemons: Map<string, SyncedDaemon> = new Map();
  #lastChange = 0;

  private constructor(options: CollectorOptions) {
    this.#options = options;
  }

  /** Creates an empty collector. */
  static create(options: CollectorOptions): Collector {
    return new Collector(options);
  }

  /** Incarnation that cursors belong to. */
  get incarnation(): number {
    return this.#options.incarnation;
  }

  /** Records a daemon's sync. */
  recordDaemon(
    daemon: DaemonIdentity,
    state: { configVersion: number; demand: readonly ModelDemand[] },
  ): void {
    const at = this.#options.clock.now();
    this.#daemons.set(daemon.instance, { daemon, at, ...state });
    for (const stored of this.#reports.values()) {
      if (!stored.direct || !isFrom(stored.report, daemon)) continue;
      // A daemon that was only silent for a while is back with its reports.
      if (stored.gone) {
        this.#store(stored.report, { direct: true, gone: false });
      } else this.#reports.set(stored.report.replica, { ...stored, at });
    }
  }

  /** Stores a report unless a newer one of the same replica is there. */
  recordReport(report: ReplicaReport, direct: boolean): void {
    const known = this.#reports.get(report.replica);
    if (known && isOlder(report, known.report)) return;
    this.#store(report, { direct, gone: false });
  }

  /** Drops a replica that another collector says is gone. */
  recordGone(replica: string): void {
    const known = this.#reports.get(replica);
    if (!known || known.direct || known.gone) return;
    this.#store(known.report, { direct: false, gone: true });
  }

  /** Daemons that synced within the expiry time. */
  daemons(): readonly SyncedDaemon[] {
    const oldest = this.#options.clock.now() - this.#options.expireAfterMs;
    return [...this.#daemons.values()].filter(({ at }) => at >= oldest);
  }

  /** All reports that have not expired. */
  reports(): readonly ReplicaReport[] {
    this.#expire();
    return [...this.#reports.values()]
      .filter(({ gone }) => !gone)
      .map(({ report }) => report);
  }

  /** Changes after a cursor, limited in number. */
  changesSince(cursor: number, directOnly: boolean): ReportChanges {
    this.#expire();
    const changed = [...this.#reports.values()]
      .filter((stored) => stored.change > cursor)
      .filter((stored) => !directOnly || stored.direct)
      .sort((a, b) => a.change - b.change);
    const sent = changed.slice(0, this.#options.maxReportsPerAnswer);
    const complete = sent.length === changed.length;
    return {
      reports: sent.filter(({ gone }) => !gone).map(({ report }) => report),
      gone: sent.filter(({ gone }) => gone).map(({ report }) => report.replica),
      cursor: complete ? this.#lastChange : sent.at(-1)!.change,
    };
  }

  #store(
    report: ReplicaReport,
    { direct, gone }: { direct: boolean; gone: boolean },
  ): void {
    this.#lastChange += 1;
    const at = this.#options.clock.now();
    const change = this.#lastChange;
    this.#reports.set(report.replica, { report, change, at, direct, gone });
  }

  #expire(): void {
    const oldest = this.#options.clock.now() - this.#options.expireAfterMs;
    for (const stored of this.#reports.values()) {
      if (!stored.direct || stored.gone || stored.at >= oldest) continue;
      this.#store(stored.report, { direct: true, gone: true });
    }
  }
}

function isOlder(a: ReplicaReport, b: ReplicaReport): boolean {
  if (a.agentIncarnation !== b.agentIncarnation) {
    return a.agentIncarnation < b.agentIncarnation;
  }
  return a.sequence <= b.sequence;
}

function isFrom(report: ReplicaReport, daemon: DaemonIdentity): boolean {
  return report.instance === daemon.instance &&
    report.agentIncarnation === daemon.incarnation;
}
