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
  /** Incarnation of the daemon that this collector runs in. */
  readonly incarnation: number;
  /** Time without contact after which an agent's reports expire, in ms. */
  readonly expireAfterMs: number;
  /**
   * Time without contact after which reports from another collector expire,
   * in ms.
   */
  readonly expireRemoteAfterMs: number;
  /** Most reports in one answer; the rest follow in the next answers. */
  readonly maxReportsPerAnswer: number;
}

/** A daemon that has synced with this collector. */
export interface SyncedDaemon {
  /** Identity of the daemon. */
  readonly daemon: DaemonIdentity;
  /** Version of the daemon's active configuration. */
  readonly configVersion: number;
  /** Monotonic time of its last sync. */
  readonly lastSyncAt: number;
  /** Demand by model that the daemon sees; empty unless it is an entry. */
  readonly demand: readonly ModelDemand[];
}

/** Reports that changed since a cursor. */
export interface ReportChanges {
  /** Changed reports, the oldest change first. */
  readonly reports: readonly ReplicaReport[];
  /** Replicas whose reports have expired or were dropped since. */
  readonly gone: readonly string[];
  /** Cursor for the next call. */
  readonly cursor: number;
}

/** Process from which a report was received. */
export interface ReportSource {
  /** True if the report came from the replica's own agent. */
  readonly direct: boolean;
  /** The process, as `instance#incarnation`. */
  readonly source: string;
}

interface StoredReport extends ReportSource {
  readonly report: ReplicaReport;
  readonly change: number;
  readonly gone: boolean;
}

/**
 * Soft state of a data centre's collector: the newest report of each replica
 * in order of change, and the daemons that synced recently. A report expires
 * when there has been no contact with its source for a time. When the ranking
 * makes another daemon the collector, that daemon rebuilds all of it from the
 * next syncs.
 */
export class Collector {
  readonly #options: CollectorOptions;
  readonly #reports: Map<string, StoredReport> = new Map();
  readonly #daemons: Map<string, SyncedDaemon> = new Map();
  /** Monotonic time of the last contact, by source. */
  readonly #lastContactAt: Map<string, number> = new Map();
  #lastChange = 0;

  private constructor(options: CollectorOptions) {
    this.#options = options;
  }

  /** Creates an empty collector. */
  static create(options: CollectorOptions): Collector {
    return new Collector(options);
  }

  /** Incarnation for which the cursors of this collector are valid. */
  get incarnation(): number {
    return this.#options.incarnation;
  }

  /** Records a daemon's sync, which also counts as contact with the daemon. */
  recordDaemon(
    daemon: DaemonIdentity,
    state: { configVersion: number; demand: readonly ModelDemand[] },
  ): void {
    const lastSyncAt = this.#options.clock.now();
    this.#daemons.set(daemon.instance, { daemon, lastSyncAt, ...state });
    this.touchSource(`${daemon.instance}#${daemon.incarnation}`);
  }

  /**
   * Records a contact with a source, so its reports don't expire. If the last
   * contact is more than `expireAfterMs` ago, the source's reports that are
   * gone become valid again.
   */
  touchSource(source: string): void {
    const now = this.#options.clock.now();
    const lastContactAt = this.#lastContactAt.get(source) ?? -Infinity;
    this.#lastContactAt.set(source, now);
    if (now - lastContactAt <= this.#options.expireAfterMs) return;
    // The source was only out of contact for a time: its reports are valid.
    for (const stored of this.#reports.values()) {
      if (stored.source !== source || !stored.gone) continue;
      this.#store(stored.report, { ...stored, gone: false });
    }
  }

  /**
   * Stores a report unless a newer one of the same replica is stored. The same
   * report from another source changes only the source, unless the stored one
   * is direct and the other is not.
   */
  recordReport(report: ReplicaReport, from: ReportSource): void {
    this.#lastContactAt.set(from.source, this.#options.clock.now());
    const previous = this.#reports.get(report.replica);
    const order = previous ? compareReports(report, previous.report) : 1;
    if (order < 0) return;
    if (order > 0 || previous!.gone) {
      this.#store(report, { ...from, gone: false });
      return;
    }
    if (previous!.direct && !from.direct) return;
    this.#reports.set(report.replica, { ...previous!, ...from });
  }

  /** Drops a replica's report if its source, a collector, lists it as gone. */
  recordGone(replica: string, source: string): void {
    const previous = this.#reports.get(replica);
    if (!previous || previous.gone || previous.source !== source) return;
    this.#store(previous.report, { ...previous, gone: true });
  }

  /** Daemons that synced within `expireAfterMs`. */
  daemons(): readonly SyncedDaemon[] {
    const oldest = this.#options.clock.now() - this.#options.expireAfterMs;
    return [...this.#daemons.values()].filter(({ lastSyncAt }) =>
      lastSyncAt >= oldest
    );
  }

  /** Reports that have not expired or been dropped. */
  reports(): readonly ReplicaReport[] {
    this.#expire();
    return [...this.#reports.values()]
      .filter(({ gone }) => !gone)
      .map(({ report }) => report);
  }

  /**
   * Returns changes after a cursor, at most `maxReportsPerAnswer`. With
   * `directOnly`, reports from other collectors are left out.
   */
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
      const lastContactAt = this.#lastContactAt.get(stored.source) ?? -Infinity;
      if (stored.gone || now - lastContactAt <= limitMs) continue;
      this.#store(stored.report, { ...stored, gone: true });
    }
  }
}

/** Positive if the first report is newer, 0 if both are the same report. */
function compareReports(a: ReplicaReport, b: ReplicaReport): number {
  if (a.agentIncarnation !== b.agentIncarnation) {
    return a.agentIncarnation - b.agentIncarnation;
  }
  return a.sequence - b.sequence;
}
