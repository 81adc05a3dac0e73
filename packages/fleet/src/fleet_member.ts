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
const LIST_INTERVAL_MS = 2000;
const FRESH_FOR_MS = 4000;
const STORE_POLL_AGE_MS = 2000;
const CONTACT_MS = 5000;
const EXPIRE_REPORT_MS = 4000;
const EXPIRE_REMOTE_MS = 6000;
const SUSPICION_MS = 3000;
const MAX_REPORTS_PER_SYNC = 24;

const log = createLog("fleet:sync");

/** What a daemon tells others about itself. */
export interface LocalState {
  /** Reports of its own replicas; empty at an entry. */
  readonly reports: () => readonly ReplicaReport[];
  /** Demand that it sees; empty at an agent. */
  readonly demand: () => readonly ModelDemand[];
}

/** Options of {@link FleetMember.create}. */
export interface FleetMemberOptions {
  /** Who the daemon is. */
  readonly identity: Omit<DaemonIdentity, "leaving">;
  /** Time source. */
  readonly clock: Clock;
  /** Waits between rounds. */
  readonly sleep: Sleep;
  /** The platform's services. */
  readonly platform: Platform;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** Ranking of collectors. */
  readonly ranking: CollectorRanking;
  /** Internal addresses to ask before the platform's list has been read. */
  readonly seeds: readonly string[];
  /** What the daemon tells others. */
  readonly local: LocalState;
  /** Called after each change of the configuration. */
  readonly onConfig: (config: ActiveConfig) => void;
  /** Called with reports that changed. */
  readonly onReport: (report: ReplicaReport) => void;
  /** Called with replicas that are gone. */
  readonly onReplicaGone: (replica: string) => void;
  /** Counts bytes of control messages. */
  readonly metrics: Metrics;
}

interface RemoteContact {
  readonly at: number;
  readonly reached: number;
}

interface UpstreamCursor {
  readonly incarnation: number;
  readonly cursor: number;
  /** Sequence of each own report that the peer has. */
  readonly sent: Map<string, number>;
}

/**
 * One daemon's part in spreading configuration, reports and liveness. Every
 * daemon syncs once a second with the collector of its data centre; the
 * collector reads the store and syncs with the other collectors.
 */
export class FleetMember {
  /** Configuration in force. */
  readonly config: ConfigTracker;
  /** The platform's list as corrected here. */
  readonly liveInstances: LiveInstanceList;
  /** State kept for others while this daemon is a collector. */
  readonly collector: Collector;
  readonly #options: FleetMemberOptions;
  readonly #cursors: Map<string, UpstreamCursor> = new Map();
  readonly #contacts: Map<string, RemoteContact> = new Map();
  #ownCursor = 0;
  #leaving = false;
  #contactAt = -Infinity;
  #hasSynced = false;

  private constructor(options: FleetMemberOptions) {
    const { clock, identity, onConfig } = options;
    this.#options = options;
    this.config = ConfigTracker.create({ clock, onChange: onConfig });
    this.liveInstances = LiveInstanceList.create({
      clock,
      suspicionMs: SUSPICION_MS,
    });
    this.collector = Collector.create({
      clock,
      incarnation: identity.incarnation,
      expireAfterMs: EXPIRE_REPORT_MS,
      expireRemoteAfterMs: EXPIRE_REMOTE_MS,
      maxReportsPerAnswer: MAX_REPORTS_PER_SYNC,
    });
  }

  /** Creates a member that has not contacted anyone yet. */
  static create(options: FleetMemberOptions): FleetMember {
    return new FleetMember(options);
  }

  /** Who this daemon is now. */
  get identity(): DaemonIdentity {
    return { ...this.#options.identity, leaving: this.#leaving };
  }

  /** Whether keyed requests may be admitted. */
  get freshness(): Freshness {
    return decideFreshness({
      confirmedAgeMs: this.config.confirmedAgeMs,
      knownDaemons: this.liveInstances.listed.length,
      reachedDaemons: this.countReached(),
      hasConfiguration: this.config.current !== undefined,
    }, { freshForMs: FRESH_FOR_MS });
  }

  /** When a peer or the store last answered, by the monotonic clock. */
  get lastContactAt(): number {
    return this.#contactAt;
  }

  /** Whether the first sync has ended, with a collector or as one. */
  get hasSynced(): boolean {
    return this.#hasSynced;
  }

  /** Whether this daemon collects for its data centre. */
  get isCollector(): boolean {
    const [first] = this.#collectorsOf(this.identity.dataCentre);
    return first === undefined || first.instance === this.identity.instance;
  }

  /** Daemons in contact directly or through collectors, with this one. */
  countReached(): number {
    const oldest = this.#options.clock.now() - CONTACT_MS;
    const own = new Set(
      this.collector.daemons().map(({ daemon }) => daemon.instance),
    );
    own.delete(this.identity.instance);
    let reached = 1 + own.size;
    for (const contact of this.#contacts.values()) {
      if (contact.at >= oldest) reached += contact.reached;
    }
    return reached;
  }

  /** Announces a planned stop to the collector at once. */
  async announceDraining(): Promise<void> {
    this.#leaving = true;
    await this.syncOnce();
  }

  /** Reads the platform's list until the signal is aborted. */
  async pollInstanceList(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readInstanceList();
      await this.#options.sleep(LIST_INTERVAL_MS, signal);
    }
  }

  /** Syncs until the signal is aborted. */
  async runSync(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.syncOnce();
      await this.#options.sleep(SYNC_INTERVAL_MS, signal);
    }
  }

  /** Reads the platform's list once. */
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
      const [collector] = this.#collectorsOf(this.identity.dataCentre);
      await this.#syncWith(collector!, { directOnly: false });
    }
    const stale = this.config.confirmedAgeMs > STORE_POLL_AGE_MS;
    if (stale || this.config.isBehind) await this.readStoredConfig();
    this.#publishReports();
    this.#hasSynced = true;
  }

  /** Reads the head, and the document if it is newer, from the store. */
  async readStoredConfig(): Promise<void> {
    const askedAt = this.#options.clock.now();
    const { table } = this.#options.platform;
    const head = await readDocumentVersion(table);
    if (!head.ok) return;
    this.#contactAt = askedAt;
    if (head.value <= this.config.version) {
      this.config.confirm(head.value, askedAt);
      return;
    }
    const stored = await readDocument(table);
    if (!stored.ok) return;
    const texts = this.#stripKeys(stored.value.texts);
    this.config.applyDocument({ ...stored.value, texts }, askedAt);
  }

  /** Collectors of a data centre, the best first: its entries if it has any. */
  #collectorsOf(dataCentre: string): readonly LiveInstance[] {
    if (this.liveInstances.listed.length === 0) {
      return this.#listSeeds(dataCentre);
    }
    const usable = this.liveInstances.usable(dataCentre);
    const entries = usable.filter(({ role }) => role === "entry");
    const candidates = entries.length > 0 ? entries : usable;
    const byName = new Map(candidates.map((row) => [row.instance, row]));
    return this.#options.ranking(dataCentre, [...byName.keys()])
      .map((name) => byName.get(name)!);
  }

  #listSeeds(dataCentre: string): readonly LiveInstance[] {
    return this.#options.seeds.map((address) => ({
      instance: address,
      role: "entry",
      dataCentre,
      address,
      leaving: false,
    }));
  }

  async #syncWithCollectors(): Promise<void> {
    const rounds: Promise<void>[] = [];
    for (const dataCentre of this.liveInstances.dataCentres) {
      const [collector] = this.#collectorsOf(dataCentre);
      if (!collector) continue;
      if (collector.instance === this.identity.instance) continue;
      rounds.push(this.#syncWith(collector, { directOnly: true }));
    }
    await Promise.all(rounds);
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

  /** Counts the messages of one sync, as either side sees them. */
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
    this.#contactAt = sentAt;
    this.#takeResponse(peer, { res, req, sentAt });
  }

  #createSyncRequest(peer: LiveInstance, directOnly: boolean): SyncRequest {
    const { local } = this.#options;
    const known = this.#cursors.get(peer.instance);
    const unsent = directOnly
      ? []
      : local.reports().filter((report) =>
        known?.sent.get(report.replica) !== report.sequence
      );
    return create(SyncRequestSchema, {
      sender: toWireDaemon(this.identity),
      configVersion: BigInt(this.config.version),
      reports: unsent.map(toWireReport),
      cursor: BigInt(known?.cursor ?? 0),
      cursorIncarnation: BigInt(known?.incarnation ?? 0),
      directOnly,
      wantsReports: directOnly || this.identity.role === "entry",
      demand: local.demand().map(toWireDemand),
    });
  }

  #takeResponse(
    peer: LiveInstance,
    { res, req, sentAt }: {
      res: SyncResponse;
      req: SyncRequest;
      sentAt: number;
    },
  ): void {
    const incarnation = Number(res.incarnation);
    const known = this.#cursors.get(peer.instance);
    const sent = known?.incarnation === incarnation
      ? known.sent
      : new Map<string, number>();
    const isFirst = known === undefined || known.incarnation !== incarnation;
    if (!isFirst || known === undefined) {
      for (const { replica, sequence } of req.reports) {
        sent.set(replica, Number(sequence));
      }
    }
    const cursor = Number(res.cursor);
    this.#cursors.set(peer.instance, { incarnation, cursor, sent });
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
      reached: res.daemonsReached,
    });
    this.#takeConfig(res, sentAt);
  }

  #takeConfig(res: SyncResponse, sentAt: number): void {
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

  /** Hands changed reports to this daemon's own router. */
  #publishReports(): void {
    if (this.identity.role !== "entry") return;
    const changes = this.collector.changesSince(this.#ownCursor, false);
    this.#ownCursor = changes.cursor;
    for (const report of changes.reports) this.#options.onReport(report);
    for (const replica of changes.gone) this.#options.onReplicaGone(replica);
  }

  #stripKeys(texts: SectionTexts): SectionTexts {
    return this.identity.role === "entry" ? texts : stripKeyHashes(texts);
  }
}
