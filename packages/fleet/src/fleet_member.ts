import { create, toBinary } from "@bufbuild/protobuf";
import type {
  Clock,
  DaemonIdentity,
  LiveInstance,
  ModelDemand,
  ReplicaReport,
  Sleep,
} from "@banyanspool/types";
import {
  readDocument,
  readDocumentVersion,
  type SectionTexts,
  stripKeyHashes,
} from "@banyanspool/config";
import type { Platform } from "@banyanspool/platform";
import {
  Collector,
  type CollectorRanking,
  decideFreshness,
  type Freshness,
  LiveInstanceList,
} from "@banyanspool/membership";
import {
  fromWireReport,
  type PeerPool,
  type SyncRequest,
  SyncRequestSchema,
  type SyncResponse,
  SyncResponseSchema,
  toWireDaemon,
  toWireDemand,
  toWireReport,
} from "@banyanspool/wire";
import { createLog } from "@banyanspool/logger";
import type { Metrics } from "@banyanspool/metrics";
import {
  type ActiveConfig,
  ConfigTracker,
  type DocumentChange,
} from "./config_tracker.ts";

const SYNC_INTERVAL_MS = 1000;
const SYNC_TIMEOUT_MS = 1500;
const INSTANCE_LIST_INTERVAL_MS = 2000;
const CONFIG_FRESH_MS = 4000;
const STORE_READ_AGE_MS = 2000;
const CONTACT_EXPIRY_MS = 5000;
const REPORT_EXPIRY_MS = 4000;
const REMOTE_REPORT_EXPIRY_MS = 6000;
const SUSPICION_DURATION_MS = 3000;
const MAX_REPORTS_PER_SYNC = 24;

const log = createLog("fleet:sync");

/** State that a daemon sends to its peers. */
export interface LocalState {
  /** Returns the reports of its own replicas; empty at an entry. */
  readonly reports: () => readonly ReplicaReport[];
  /** Returns the demand that it measures; empty at an agent. */
  readonly demand: () => readonly ModelDemand[];
}

/** Options of {@link FleetMember.create}. */
export interface FleetMemberOptions {
  /** Identity of the daemon. */
  readonly identity: Omit<DaemonIdentity, "leaving">;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function. */
  readonly sleep: Sleep;
  /** Services of the platform: instance list, table and object store. */
  readonly platform: Platform;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** Ranks the candidates for a data centre's collector. */
  readonly ranking: CollectorRanking;
  /** Internal addresses to sync with until the instance list has been read. */
  readonly seeds: readonly string[];
  /** State that the daemon sends to its peers. */
  readonly local: LocalState;
  /** Called each time that a configuration has become active. */
  readonly onConfig: (config: ActiveConfig) => void;
  /** Called with each changed report; at an entry only. */
  readonly onReport: (report: ReplicaReport) => void;
  /** Called with the name of each replica that is gone; at an entry only. */
  readonly onReplicaGone: (replica: string) => void;
  /** Metrics, which count the bytes of control messages. */
  readonly metrics: Metrics;
}

interface RemoteContact {
  readonly at: number;
  readonly daemonsReached: number;
}

interface SyncCursor {
  readonly incarnation: number;
  readonly cursor: number;
  /** Sequence number of the last own report that the peer has, by replica. */
  readonly sentSequences: Map<string, number>;
}

/**
 * Membership of one daemon in the fleet: exchanges configuration, reports and
 * liveness with its peers. Every daemon syncs once a second with the collector
 * of its data centre; the collector reads the store and syncs with the
 * collectors of the other data centres.
 */
export class FleetMember {
  /** Active configuration. */
  readonly config: ConfigTracker;
  /** The platform's instance list, and which of its instances are suspected. */
  readonly liveInstances: LiveInstanceList;
  /** State that this daemon serves to peers while it is a collector. */
  readonly collector: Collector;
  readonly #options: FleetMemberOptions;
  readonly #cursors: Map<string, SyncCursor> = new Map();
  readonly #contacts: Map<string, RemoteContact> = new Map();
  #localCursor = 0;
  #isDraining = false;
  #lastContactAt = -Infinity;
  #hasSynced = false;

  private constructor(options: FleetMemberOptions) {
    const { clock, identity, onConfig } = options;
    this.#options = options;
    this.config = ConfigTracker.create({ clock, onChange: onConfig });
    this.liveInstances = LiveInstanceList.create({
      clock,
      suspicionMs: SUSPICION_DURATION_MS,
    });
    this.collector = Collector.create({
      clock,
      incarnation: identity.incarnation,
      expireAfterMs: REPORT_EXPIRY_MS,
      expireRemoteAfterMs: REMOTE_REPORT_EXPIRY_MS,
      maxReportsPerAnswer: MAX_REPORTS_PER_SYNC,
    });
  }

  /** Creates a member; it contacts no peer before the first sync. */
  static create(options: FleetMemberOptions): FleetMember {
    return new FleetMember(options);
  }

  /** Current identity of this daemon. */
  get identity(): DaemonIdentity {
    return { ...this.#options.identity, leaving: this.#isDraining };
  }

  /** Whether requests with an API key may be admitted, or why not. */
  get freshness(): Freshness {
    return decideFreshness({
      confirmedAgeMs: this.config.confirmedAgeMs,
      knownDaemons: this.liveInstances.listed.length,
      reachedDaemons: this.countReached(),
      hasConfiguration: this.config.current !== undefined,
    }, { freshForMs: CONFIG_FRESH_MS });
  }

  /**
   * Monotonic time at which the latest successful request to a peer or the
   * store was sent, in ms; negative infinity before the first.
   */
  get lastContactAt(): number {
    return this.#lastContactAt;
  }

  /** Whether the first sync has ended, successfully or not. */
  get hasSynced(): boolean {
    return this.#hasSynced;
  }

  /** Whether this daemon is the collector of its data centre. */
  get isCollector(): boolean {
    const [first] = this.#rankCollectors(this.identity.dataCentre);
    return first === undefined || first.instance === this.identity.instance;
  }

  /** Number of daemons in direct or indirect contact, including itself. */
  countReached(): number {
    const oldest = this.#options.clock.now() - CONTACT_EXPIRY_MS;
    const own = new Set(
      this.collector.daemons().map(({ daemon }) => daemon.instance),
    );
    own.delete(this.identity.instance);
    let reached = 1 + own.size;
    for (const contact of this.#contacts.values()) {
      if (contact.at >= oldest) reached += contact.daemonsReached;
    }
    return reached;
  }

  /** Marks this daemon as draining and announces it to peers at once. */
  async announceDraining(): Promise<void> {
    this.#isDraining = true;
    await this.syncOnce();
  }

  /** Reads the instance list regularly until the signal is aborted. */
  async pollInstanceList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readInstanceList();
      await this.#options.sleep(INSTANCE_LIST_INTERVAL_MS, signal);
    }
  }

  /** Syncs regularly until the signal is aborted. */
  async runSync(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.syncOnce();
      await this.#options.sleep(SYNC_INTERVAL_MS, signal);
    }
  }

  /** Reads the platform's instance list once; keeps the old one on failure. */
  async readInstanceList(): Promise<void> {
    const res = await this.#options.platform.instances.list();
    if (res.ok) this.liveInstances.update(res.value);
  }

  /** Syncs once with the collector, or with the store and other collectors. */
  async syncOnce(): Promise<void> {
    if (this.isCollector) {
      this.#recordSelf();
      await Promise.all([this.readStoredConfig(), this.#syncWithCollectors()]);
    } else {
      const [collector] = this.#rankCollectors(this.identity.dataCentre);
      await this.#syncWith(collector!, { directOnly: false });
    }
    const isStale = this.config.confirmedAgeMs > STORE_READ_AGE_MS;
    if (isStale || this.config.isBehind) await this.readStoredConfig();
    this.#publishReports();
    this.#hasSynced = true;
  }

  /**
   * Reads the newest version number from the store, and the document if it is
   * newer than the active one.
   */
  async readStoredConfig(): Promise<void> {
    const requestedAt = this.#options.clock.now();
    const { table } = this.#options.platform;
    const newestVersion = await readDocumentVersion(table);
    if (!newestVersion.ok) return;
    this.#lastContactAt = requestedAt;
    if (newestVersion.value <= this.config.version) {
      this.config.confirm(newestVersion.value, requestedAt);
      return;
    }
    const stored = await readDocument(table);
    if (!stored.ok) return;
    const texts = this.#stripUnneededKeys(stored.value.texts);
    this.config.applyDocument({ ...stored.value, texts }, requestedAt);
  }

  /**
   * Candidates for a data centre's collector, highest rank first: its entries,
   * or all its daemons if it has no entry.
   */
  #rankCollectors(dataCentre: string): readonly LiveInstance[] {
    if (this.liveInstances.listed.length === 0) {
      return this.#createSeedInstances(dataCentre);
    }
    const usable = this.liveInstances.usable(dataCentre);
    const entries = usable.filter(({ role }) => role === "entry");
    const candidates = entries.length > 0 ? entries : usable;
    const byName = new Map(candidates.map((row) => [row.instance, row]));
    return this.#options.ranking(dataCentre, [...byName.keys()])
      .map((name) => byName.get(name)!);
  }

  #createSeedInstances(dataCentre: string): readonly LiveInstance[] {
    return this.#options.seeds.map((address) => ({
      instance: address,
      role: "entry",
      dataCentre,
      address,
      leaving: false,
    }));
  }

  async #syncWithCollectors(): Promise<void> {
    const syncs: Promise<void>[] = [];
    for (const dataCentre of this.liveInstances.dataCentres) {
      const [collector] = this.#rankCollectors(dataCentre);
      if (!collector) continue;
      if (collector.instance === this.identity.instance) continue;
      syncs.push(this.#syncWith(collector, { directOnly: true }));
    }
    await Promise.all(syncs);
  }

  #recordSelf(): void {
    const { local } = this.#options;
    this.collector.recordDaemon(this.identity, {
      configVersion: this.config.version,
      demand: local.demand(),
    });
    const { instance, incarnation } = this.identity;
    const source = `${instance}#${incarnation}`;
    for (const report of local.reports()) {
      this.collector.recordReport(report, { direct: true, source });
    }
  }

  /**
   * Adds a sync's request and response to the byte metrics, whether this daemon
   * sent the request or served it.
   */
  countSyncBytes(
    { sent, received }: { sent: Uint8Array; received: Uint8Array },
  ): void {
    const { controlBytes } = this.#options.metrics;
    controlBytes.inc({ direction: "sent" }, sent.length);
    controlBytes.inc({ direction: "received" }, received.length);
  }

  async #syncWith(
    peer: LiveInstance,
    { directOnly }: { directOnly: boolean },
  ): Promise<void> {
    const { clock, pool } = this.#options;
    const sentAt = clock.now();
    const req = this.#createSyncRequest(peer, directOnly);
    let res: SyncResponse;
    const connection = pool.getConnection(peer.address);
    try {
      const options = { timeoutMs: SYNC_TIMEOUT_MS };
      res = await connection.peer.sync(req, options);
    } catch (error) {
      log(`Sync with "${peer.instance}" failed: ${(error as Error).message}`);
      connection.abandon();
      this.liveInstances.suspect(peer.instance);
      this.#cursors.delete(peer.instance);
      return;
    }
    this.countSyncBytes({
      sent: toBinary(SyncRequestSchema, req),
      received: toBinary(SyncResponseSchema, res),
    });
    this.liveInstances.clearSuspicion(peer.instance);
    this.#lastContactAt = sentAt;
    this.#applyResponse(peer, { res, req, sentAt });
  }

  #createSyncRequest(peer: LiveInstance, directOnly: boolean): SyncRequest {
    const { local } = this.#options;
    const lastCursor = this.#cursors.get(peer.instance);
    const unsent = directOnly
      ? []
      : local.reports().filter((report) =>
        lastCursor?.sentSequences.get(report.replica) !== report.sequence
      );
    return create(SyncRequestSchema, {
      sender: toWireDaemon(this.identity),
      configVersion: BigInt(this.config.version),
      reports: unsent.map(toWireReport),
      cursor: BigInt(lastCursor?.cursor ?? 0),
      cursorIncarnation: BigInt(lastCursor?.incarnation ?? 0),
      directOnly,
      wantsReports: directOnly || this.identity.role === "entry",
      demand: local.demand().map(toWireDemand),
    });
  }

  #applyResponse(
    peer: LiveInstance,
    { res, req, sentAt }: {
      res: SyncResponse;
      req: SyncRequest;
      sentAt: number;
    },
  ): void {
    const incarnation = Number(res.incarnation);
    const lastCursor = this.#cursors.get(peer.instance);
    const sent = lastCursor?.incarnation === incarnation
      ? lastCursor.sentSequences
      : new Map<string, number>();
    const isFirst = lastCursor === undefined ||
      lastCursor.incarnation !== incarnation;
    if (!isFirst || lastCursor === undefined) {
      for (const { replica, sequence } of req.reports) {
        sent.set(replica, Number(sequence));
      }
    }
    const cursor = Number(res.cursor);
    this.#cursors.set(peer.instance, {
      incarnation,
      cursor,
      sentSequences: sent,
    });
    const source = `${peer.instance}#${incarnation}`;
    this.collector.touchSource(source);
    for (const report of res.reports) {
      if (report.gone) {
        this.collector.recordGone(report.replica, source);
        continue;
      }
      const from = { direct: false, source };
      this.collector.recordReport(fromWireReport(report), from);
    }
    this.#contacts.set(peer.dataCentre, {
      at: sentAt,
      daemonsReached: res.daemonsReached,
    });
    this.#applyConfig(res, sentAt);
  }

  #applyConfig(res: SyncResponse, sentAt: number): void {
    if (res.confirmedAgeMs < 0n) return;
    const version = Number(res.configVersion);
    const confirmedAt = sentAt - Number(res.confirmedAgeMs);
    if (res.configDocument === "") {
      this.config.confirm(version, confirmedAt);
      return;
    }
    const change = JSON.parse(res.configDocument) as DocumentChange;
    this.config.applyChange(version, change, confirmedAt);
  }

  /** Passes changed reports to this daemon's router if it is an entry. */
  #publishReports(): void {
    if (this.identity.role !== "entry") return;
    const changes = this.collector.changesSince(this.#localCursor, false);
    this.#localCursor = changes.cursor;
    for (const report of changes.reports) this.#options.onReport(report);
    for (const replica of changes.gone) this.#options.onReplicaGone(replica);
  }

  #stripUnneededKeys(texts: SectionTexts): SectionTexts {
    return this.identity.role === "entry" ? texts : stripKeyHashes(texts);
  }
}
