import {
  type BackendServer,
  type Clock,
  incarnationOf,
} from "@banyanspool/types";

/** What cold replicas of a service take. */
export interface ColdLimit {
  /** Time for which a replica is cold after its start, in ms. */
  readonly coldStartMs: number;
  /** Requests a second that a cold replica takes from all gateways. */
  readonly coldPerS: number;
}

/** Options of {@link ColdReplicas.create}. */
export interface ColdReplicasOptions {
  /** Time source. */
  readonly clock: Clock;
  /** What cold replicas of a service take; undefined for no limit. */
  readonly limitOfService: (service: string) => ColdLimit | undefined;
  /** Whether this gateway knows all others; not known by default. */
  readonly knowsOthers?: () => boolean;
  /** Called when a replica becomes cold, with the time that is left, in ms. */
  readonly onCold: (replica: string, forMs: number) => void;
  /** Called with a cold time that is replaced by the nearest possible one. */
  readonly onImplausible: (replica: string, coldForMs: number) => void;
}

interface Entry {
  readonly service: string;
  readonly dataCentre: string;
  /** Row that was seen last. */
  row: BackendServer;
  /** Time until which its row says that it is cold. */
  rowUntil: number;
  /** Start of a time of `coldStartMs` in which it is cold in any case. */
  startedAt: number;
}

/**
 * Share of what a cold replica takes for which permits are issued. Two gateways
 * may issue permits at the same time, each with those that accumulate.
 */
const ISSUED_SHARE = 0.6;
/** Time after the end in which the limit rises, and that in which it doubles. */
const RAMP_MS = 1500;
const RAMP_DOUBLING_MS = 250;
/** Longest time that a row's word counts, in ms. */
const MAX_COLD_LEFT_MS = 600_000;
/** Time after a gateway's start in which it may not know the others, in ms. */
const SETTLE_MS = 2000;

/**
 * The limits of replicas that are cold. A row counts from when it is first read,
 * so that its age can only lengthen the time.
 */
export class ColdReplicas {
  readonly #options: ColdReplicasOptions;
  readonly #entries: Map<string, Entry> = new Map();
  readonly #startedAt: number;
  #hasList = false;
  #lastUntil = -Infinity;

  private constructor(options: ColdReplicasOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  /** Creates the state of a gateway that has just started. */
  static create(options: ColdReplicasOptions): ColdReplicas {
    return new ColdReplicas(options);
  }

  /** Whether any replica has a limit because it is or was cold. */
  get hasLimits(): boolean {
    return this.#options.clock.now() < this.#lastUntil + RAMP_MS;
  }

  /** Number of replicas that are cold. */
  get count(): number {
    if (!this.hasLimits) return 0;
    const now = this.#options.clock.now();
    return [...this.#entries.values()]
      .filter((entry) => this.#untilOf(entry) > now).length;
  }

  /** Time for which a replica stays cold, in ms; 0 if it isn't. */
  leftMs(replica: string): number {
    const entry = this.#entries.get(replica);
    if (!entry || !this.hasLimits) return 0;
    return Math.max(0, this.#untilOf(entry) - this.#options.clock.now());
  }

  /** Limit of a replica, in requests a second; undefined if it has none. */
  limitOf(replica: string): number | undefined {
    const entry = this.#entries.get(replica);
    if (!entry || !this.hasLimits) return undefined;
    const limit = this.#options.limitOfService(entry.service);
    const sinceMs = this.#options.clock.now() - this.#untilOf(entry);
    if (!limit || sinceMs >= RAMP_MS) return undefined;
    return limit.coldPerS * ISSUED_SHARE *
      2 ** (Math.max(0, sinceMs) / RAMP_DOUBLING_MS);
  }

  /**
   * Whether this gateway may issue permits of a replica. One that has just started
   * may take itself for the only one, unless it knows all others.
   */
  mayIssue(replica: string): boolean {
    return this.limitOf(replica) === undefined ||
      this.#options.clock.now() - this.#startedAt >= SETTLE_MS ||
      this.#options.knowsOthers?.() === true;
  }

  /** Applies the listed replicas; forgets others. */
  update(servers: readonly BackendServer[]): void {
    const listed = new Set<string>();
    this.#lastUntil = -Infinity;
    for (const server of servers) {
      const replica = incarnationOf(server);
      listed.add(replica);
      this.#updateReplica(replica, server);
    }
    for (const replica of this.#entries.keys()) {
      if (!listed.has(replica)) this.#entries.delete(replica);
    }
    this.#hasList ||= servers.length > 0;
  }

  /** Records that other limits of services may be in force. */
  recordConfiguration(): void {
    this.#lastUntil = -Infinity;
    for (const entry of this.#entries.values()) {
      this.#lastUntil = Math.max(this.#lastUntil, this.#untilOf(entry));
    }
  }

  /**
   * Records that the replicas of a data centre may get requests again. They may
   * have become cold meanwhile without a row that says so.
   */
  recordReturn(dataCentre: string): void {
    const now = this.#options.clock.now();
    for (const [replica, entry] of this.#entries) {
      if (entry.dataCentre !== dataCentre) continue;
      this.#change(replica, entry, () => {
        entry.startedAt = now;
      });
    }
  }

  #updateReplica(replica: string, server: BackendServer): void {
    const now = this.#options.clock.now();
    const { service, dataCentre } = server;
    let entry = this.#entries.get(replica);
    const isNewRow = entry?.row !== server;
    if (!entry) {
      entry = {
        service,
        dataCentre,
        row: server,
        rowUntil: -Infinity,
        startedAt: -Infinity,
      };
      this.#entries.set(replica, entry);
      const startedAt = this.#startOf(server);
      this.#change(replica, entry, () => {
        entry!.startedAt = startedAt;
        entry!.rowUntil = this.#endOf(replica, server);
      });
    } else if (isNewRow) {
      entry.row = server;
      this.#change(replica, entry, () => {
        // A row that doesn't say it leaves what an earlier one said.
        if (server.coldForMs === undefined) return;
        const until = this.#endOf(replica, server);
        entry!.rowUntil = until > now ? until : Math.min(entry!.rowUntil, now);
      });
    }
    this.#lastUntil = Math.max(this.#lastUntil, this.#untilOf(entry));
  }

  /**
   * When a replica that wasn't listed before may have started. What a gateway
   * finds at its own start, and what says itself how long it stays cold, hasn't
   * started unless its time of start tells so.
   */
  #startOf({ startedAt, coldForMs }: BackendServer): number {
    const { clock } = this.#options;
    if (!this.#hasList && coldForMs !== undefined) return -Infinity;
    if (startedAt > 0) {
      return clock.now() - Math.max(0, clock.wall() - startedAt);
    }
    return this.#hasList && coldForMs === undefined ? clock.now() : -Infinity;
  }

  /** Time until which a row that is read now says that its replica is cold. */
  #endOf(replica: string, { coldForMs = 0 }: BackendServer): number {
    const leftMs = Math.min(MAX_COLD_LEFT_MS, Math.max(0, coldForMs));
    if (leftMs !== coldForMs) {
      this.#options.onImplausible(replica, coldForMs);
    }
    return leftMs > 0 ? this.#options.clock.now() + leftMs : -Infinity;
  }

  #change(replica: string, entry: Entry, apply: () => void): void {
    const now = this.#options.clock.now();
    const wasCold = this.#untilOf(entry) > now;
    apply();
    const until = this.#untilOf(entry);
    this.#lastUntil = Math.max(this.#lastUntil, until);
    if (!wasCold && until > now) this.#options.onCold(replica, until - now);
  }

  /** Time until which a replica is cold; in the past if it isn't. */
  #untilOf({ service, rowUntil, startedAt }: Entry): number {
    const limit = this.#options.limitOfService(service);
    if (!limit) return -Infinity;
    return Math.max(rowUntil, startedAt + limit.coldStartMs);
  }
}
