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
  /** Age at which an agent's silence drops its reports, in ms. */
  readonly expireAfterMs: number;
  /** Age at which another collector's silence drops its reports, in ms. */
  readonly expireRemoteAfterMs: number;
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
  readonly lastSyncAt: number;
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

/** Who told of a report. */
export interface ReportSource {
  /** True if the replica's own agent did. */
  readonly direct: boolean;
  /** Process that told, as `instance#incarnation`. */
  readonly source: string;
}

interface StoredReport extends ReportSource {
  readonly report: ReplicaReport;
  readonly change: number;
  readonly gone: boolean;
}

/**
 * Soft state of a data centre's collector: the newest report of each replica
 * in order of change, and the daemons that synced lately. A report lives as
 * long as its source is heard of. All of it is rebuilt from the next syncs
 * wherever the ranking puts it.
 */
export class Collector {
  readonly #options: CollectorOptions;
  readonly #reports: Map<string, StoredReport> = new Map();
  readonly #daemons: Map<string, SyncedDaemon> = new Map();
  /** When each source was last heard of. */
  readonly #heardAt: Map<string, number> = new Map();
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
    this.#daemons.set(daemon.instance, { daemon, lastSyncAt: at, ...state });
    this.touchSource(`${daemon.instance}#${daemon.incarnation}`);
  }

  /** Keeps all reports of a source alive that has just been heard of. */
  touchSource(source: string): void {
    const now = this.#options.clock.now();
    const heardAt = this.#heardAt.get(source) ?? -Infinity;
    this.#heardAt.set(source, now);
    if (now - heardAt <= this.#options.expireAfterMs) return;
    // A source that was only silent for a while is back with its reports.
    for (const stored of this.#reports.values()) {
      if (stored.source !== source || !stored.gone) continue;
      this.#store(stored.report, { ...stored, gone: false });
    }
  }

  /** Stores a report unless a newer one of the same replica is there. */
  recordReport(report: ReplicaReport, from: ReportSource): void {
    this.#heardAt.set(from.source, this.#options.clock.now());
    const known = this.#reports.get(report.replica);
    const order = known ? compareReports(report, known.report) : 1;
    if (order < 0) return;
    if (order > 0 || known!.gone) {
      this.#store(report, { ...from, gone: false });
      return;
    }
    if (known!.direct && !from.direct) return;
    this.#reports.set(report.replica, { ...known!, ...from });
  }

  /** Drops a replica that another collector says is gone. */
  recordGone(replica: string, source: string): void {
    const known = this.#reports.get(replica);
    if (!known || known.gone || known.source !== source) return;
    this.#store(known.report, { ...known, gone: true });
  }

  /** Daemons that synced within the expiry time. */
  daemons(): readonly SyncedDaemon[] {
    const oldest = this.#options.clock.now() - this.#options.expireAfterMs;
    return [...this.#daemons.values()].filter(({ lastSyncAt: at }) =>
      at >= oldest
    );
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
    { direct, source, gone }: ReportSource & { gone: boolean },
  ): void {
    this.#lastChange += 1;
    const change = this.#lastChange;
    const stored = { report, change, direct, source, gone };
    this.#reports.set(report.replica, stored);
  }

  #expire(): void {
    const now = this.#options.clock.now();
    const { expireAfterMs, expireRemoteAfterMs } = this.#options;
    for (const stored of this.#reports.values()) {
      const limitMs = stored.direct ? expireAfterMs : expireRemoteAfterMs;
      const heardAt = this.#heardAt.get(stored.source) ?? -Infinity;
      if (stored.gone || now - heardAt <= limitMs) continue;
      this.#store(stored.report, { ...stored, gone: true });
    }
  }
}

/** Positive if the first report is newer, 0 if both are the same. */
function compareReports(a: ReplicaReport, b: ReplicaReport): number {
  if (a.agentIncarnation !== b.agentIncarnation) {
    return a.agentIncarnation - b.agentIncarnation;
  }
  return a.sequence - b.sequence;
}
