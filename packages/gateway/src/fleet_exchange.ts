import type { Lease } from "@banyanspool/platform";
import type { AvailableModels } from "@banyanspool/routing";
import { type GatewaySettings, splitAddress } from "@banyanspool/settings";
import { createSystemClock, sleep } from "@banyanspool/types";
import type { PermitMessage } from "@banyanspool/replica-limits";
import type { StreamMessage } from "@banyanspool/streams";
import {
  type GatewayState,
  toInt64,
  toUint32,
  toUint64,
} from "@banyanspool/wire";
import type { GatewayContext } from "./context.ts";
import { type GatewayReport, PeerExchange } from "./peer_exchange.ts";
import type { EngineController } from "./engine_controller.ts";
import type { ConfigurationFreshness } from "./configuration_freshness.ts";
import {
  decodeEvacuations,
  encodeEvacuations,
} from "./evacuation/evacuation_codec.ts";
import { FleetDemandTable } from "./fleet_demand.ts";
import type { RankedGateway } from "./gateway_ranking.ts";
import {
  decodeQuarantineReport,
  encodeQuarantineReport,
} from "./quarantine_codec.ts";
import {
  decodePermitMessage,
  encodePermitMessage,
  encodeReplicaLimits,
} from "./replica_limit_codec.ts";
import { PlacementHolder } from "./placement_holder.ts";
import type { FleetDemand } from "./placement_models.ts";
import {
  decodeReplicaChange,
  encodeReplicaChange,
} from "./replica_change_codec.ts";
import {
  HeldModelsPublisher,
  HeldModelsView,
  type ReplicaModels,
} from "./held_models.ts";
import type { StreamNeed } from "./waiting_request_counts.ts";
import type { SharedReadSchedule } from "./shared_read_schedule.ts";
import type { ReplicaChange, ReplicaRegistry } from "./replica_registry.ts";

/** Options of {@link FleetExchange.create}. */
export interface FleetExchangeOptions {
  /** Checked settings. */
  readonly cfg: GatewaySettings;
  /** Trackers and limits that receive the other gateways' reports. */
  readonly ctx: GatewayContext;
  /** Engine states; followed only while this process holds the lease. */
  readonly engineController: EngineController;
  /** Placement lease. */
  readonly lease: Lease;
  /** Replicas; updated with the changes that other gateways report. */
  readonly registry: ReplicaRegistry;
  /** Last reads of the replica list by this and other gateways. */
  readonly readSchedule: SharedReadSchedule;
  /** Time until each model that this lease holder loads is expected, in ms. */
  readonly expectedLoads: () => ReadonlyMap<string, number>;
  /** Called when another gateway's report changed the registry. */
  readonly onReplicaChange: () => void;
  /** Called when a datagram comes from an address that isn't known. */
  readonly onStranger: () => void;
  /** Whether the last read of the member table succeeded. */
  readonly isMembershipKnown: () => boolean;
  /** Age of the configuration here and at the other gateways. */
  readonly freshness: ConfigurationFreshness;
}

/**
 * Replica changes are repeated for this long, in ms, and in this number of
 * periodic reports, as datagrams may be lost.
 */
const CHANGE_REPEAT_MS = 1500;
const CHANGE_REPEATS = 4;
/** Number of requests in flight up to which a replica responds quickly. */
const TARGET_REQUESTS_PER_REPLICA = 20;
/**
 * A new lease holder plans only once the others have reported their demand to
 * it, or after this time, in ms.
 */
const DEMAND_WAIT_MS = 500;
/** A gateway without a report for this time isn't waited for, in ms. */
const RESPONSIVE_MS = 1000;
/** Minimum time between two reports outside the periodic ones, in ms. */
const MIN_ANNOUNCE_GAP_MS = 5;
/** Added to that time for each peer, in ms. */
const ANNOUNCE_GAP_PER_PEER_MS = 1;
/** Delay of the event loop that is logged, in ms. */
const LONG_DELAY_MS = 250;
const MS_PER_S = 1000;
const NO_DEMAND = { fastReplicas: 0, slowReplicas: 0, waiting: 0 };

/**
 * Reports this gateway's load, demand, limit use and replica changes to the
 * other gateways, and applies the reports that they send.
 */
export class FleetExchange {
  readonly #options: FleetExchangeOptions;
  readonly #peers: PeerExchange;
  readonly #demand: FleetDemandTable;
  readonly #holder: PlacementHolder;
  readonly #heldModels: HeldModelsPublisher;
  readonly #knownModels: HeldModelsView = HeldModelsView.create();
  /** Version of the lease holder's models that each gateway knows. */
  readonly #knownByPeer: Map<string, { token: bigint; version: bigint }> =
    new Map();
  #heldSince: { token: number; at: number } | undefined;
  #isAnnouncePending = false;
  #isClosed = false;
  #announcedAt = -Infinity;
  #recentChanges: { readonly change: ReplicaChange; readonly until: number }[] =
    [];

  private constructor(options: FleetExchangeOptions) {
    this.#options = options;
    const { cfg, ctx } = options;
    this.#demand = FleetDemandTable.create({ clock: ctx.clock });
    this.#holder = PlacementHolder.create({ clock: ctx.clock });
    const { host, port } = splitAddress(cfg.peer_listen);
    const incarnation = ctx.clock.wall();
    this.#heldModels = HeldModelsPublisher.create({
      firstVersion: incarnation,
    });
    this.#peers = PeerExchange.create({
      instance: cfg.instance,
      incarnation,
      host,
      port,
      clock: createSystemClock(),
      log: ctx.log,
      buildReport: () => this.#buildReport(),
      buildPeerReport: (peer) => this.#buildPeerReport(peer),
      onState: (state) => this.#applyPeerState(state),
      onStranger: options.onStranger,
      isMembershipKnown: options.isMembershipKnown,
      onMessage: (instance, { streamMessage, permitMessage }) => {
        if (streamMessage) ctx.streamOrigins.receive(instance, streamMessage);
        if (!permitMessage) return;
        const message = decodePermitMessage(permitMessage);
        ctx.replicaPermits.receive(instance, message);
      },
      onDatagram: (direction) => ctx.metrics.datagrams.inc({ direction }),
    });
    ctx.waitingRequests.onFirstWaiting = () => this.#notifyLeaseHolder();
  }

  /** Creates an exchange that doesn't listen yet; see `listen`. */
  static create(options: FleetExchangeOptions): FleetExchange {
    return new FleetExchange(options);
  }

  /** Live gateways, including this one. */
  get liveGateways(): readonly RankedGateway[] {
    const { instance, data_centre } = this.#options.cfg;
    return [...this.#peers.livePeers, { instance, dataCentre: data_centre }];
  }

  /** Sends a message about streams to another gateway; it may be lost. */
  sendStreamMessage(instance: string, message: StreamMessage): void {
    this.#peers.sendMessage(instance, {
      streamMessage: {
        $typeName: "banyanspool.v1.StreamMessage",
        origins: message.origins.map((origin) => ({
          $typeName: "banyanspool.v1.StreamOrigin",
          ...origin,
        })),
        queries: [...message.queries],
      },
    });
  }

  /** Sends a message about permits to another gateway; it may be lost. */
  sendPermitMessage(instance: string, message: PermitMessage): void {
    this.#peers.sendMessage(instance, {
      permitMessage: encodePermitMessage(message),
    });
  }

  /** Whether another gateway has reported within the last few intervals. */
  isResponsive(instance: string): boolean {
    return this.#peers.isResponsive(instance);
  }

  /** Share of the gateways heard of in the last minute that are responsive. */
  get reachableShare(): number {
    return this.#peers.reachableShare;
  }

  /** Number of live gateways, including this one. */
  get liveCount(): number {
    return this.#peers.liveCount;
  }

  /** Starts to receive the other gateways' reports. */
  async listen(): Promise<void> {
    await this.#peers.listen();
  }

  /** Closes the socket. */
  close(): void {
    this.#isClosed = true;
    this.#peers.close();
  }

  /** Adds a gateway from the member table. */
  addPeer(instance: string, host: string): void {
    this.#peers.addPeer(instance, host);
  }

  /** Sends a report to all gateways immediately. */
  announce(): void {
    const { engineController, ctx } = this.#options;
    for (const id of ctx.replicaTracker.suspected()) {
      engineController.checkSuspected(id);
    }
    this.#applyOwnAvailableModels();
    this.#announcedAt = ctx.clock.now();
    this.#peers.announce();
    ctx.limits.markReported();
  }

  /** Sends reports periodically until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.ctx;
    while (!signal.aborted) {
      this.announce();
      this.#peers.expirePeers();
      this.#forgetAbsent();
      const dueAt = clock.now() + this.#peers.intervalMs;
      await sleep(this.#peers.intervalMs, signal).catch(() => {});
      if (!signal.aborted) this.#recordDelay(clock.now() - dueAt);
    }
  }

  /** Records by how much a timer was late, as whatever ran kept it waiting. */
  #recordDelay(delayMs: number): void {
    const { metrics, log } = this.#options.ctx;
    metrics.eventLoopDelay.observe(Math.max(0, delayMs) / MS_PER_S);
    if (delayMs < LONG_DELAY_MS) return;
    log.write("event loop delayed", { delay_ms: Math.round(delayMs) });
  }

  #forgetAbsent(): void {
    const { registry } = this.#options;
    this.#knownModels.retainEarlier(
      new Set(registry.replicas.map(({ id }) => id)),
    );
    const present = new Set(this.#peers.peers.map(({ instance }) => instance));
    this.#demand.retain(present);
    this.#options.ctx.evacuationRecords.retain(present);
    for (const instance of this.#knownByPeer.keys()) {
      if (!present.has(instance)) this.#knownByPeer.delete(instance);
    }
  }

  /** Whether this gateway should renew the placement lease or try to take it. */
  mayHoldLease(): boolean {
    const { lease, ctx, cfg } = this.#options;
    if (lease.held) return true;
    const now = ctx.clock.now();
    const silentMsByPeer = new Map(
      this.#peers.peers.map(({ instance, lastReceivedAt }) => [
        instance,
        now - lastReceivedAt,
      ]),
    );
    return this.#holder.isCandidate(cfg.instance, silentMsByPeer);
  }

  /** Demand of all gateways by `model` or `model/adapter`. */
  fleetDemand(): ReadonlyMap<string, FleetDemand> {
    return this.#demand.sumWith(this.#ownDemand());
  }

  /** What cut-off streams wait for at all gateways. */
  streamNeeds(): readonly StreamNeed[] {
    return this.#demand.needsWith(this.#options.ctx.waitingRequests.needs);
  }

  /**
   * Whether this gateway, as the lease holder, knows the demand of all gateways.
   * Gateways report it only once they know of the new holder.
   */
  hasFleetDemand(): boolean {
    const { lease, ctx } = this.#options;
    const now = ctx.clock.now();
    const token = lease.fencingToken;
    if (this.#heldSince?.token !== token) this.#heldSince = { token, at: now };
    if (now - this.#heldSince.at >= DEMAND_WAIT_MS) return true;
    return this.#peers.peers.every(({ instance, lastReceivedAt }) =>
      now - lastReceivedAt > RESPONSIVE_MS ||
      this.#knownByPeer.get(instance)?.token === toUint64(token)
    );
  }

  /** Sends the available models to all gateways soon. */
  publishAvailableModels(): void {
    this.#applyOwnAvailableModels();
    this.announceSoon();
  }

  /**
   * Sends a report to all gateways soon, as it has news. Several calls before
   * that cause one report.
   */
  announceSoon(): void {
    if (this.#isAnnouncePending) return;
    this.#isAnnouncePending = true;
    const gapMs = MIN_ANNOUNCE_GAP_MS +
      ANNOUNCE_GAP_PER_PEER_MS * this.#peers.peers.length;
    const dueInMs = this.#announcedAt + gapMs - this.#options.ctx.clock.now();
    setTimeout(() => {
      this.#isAnnouncePending = false;
      if (!this.#isClosed) this.#announceContained();
    }, Math.max(0, dueInMs));
  }

  /** Nothing above a timer handles an error, so it is logged here. */
  #announceContained(): void {
    try {
      this.announce();
    } catch (error) {
      const { log } = this.#options.ctx;
      log.write("announcement failed", { detail: String(error) });
    }
  }

  /** Sends all gateways a replica change that this gateway was first to read. */
  publishReplicaChange(change: ReplicaChange): void {
    const now = this.#options.ctx.clock.now();
    this.#recentChanges = this.#recentChanges.filter(({ until }) =>
      until > now
    );
    const repeatMs = Math.max(
      CHANGE_REPEAT_MS,
      CHANGE_REPEATS * this.#peers.intervalMs,
    );
    this.#recentChanges.push({ change, until: now + repeatMs });
    this.announceSoon();
  }

  #applyOwnAvailableModels(): void {
    const { ctx, engineController } = this.#options;
    const available = engineController.listAvailableModels();
    if (!available) return;
    const models: ReplicaModels[] = available.map(({ server, names }) => ({
      replica: server.id,
      startedAt: server.startedAt,
      names,
    }));
    const unsettled = engineController.listUnsettledReplicas();
    const hasChanged = this.#heldModels.update(models, unsettled);
    ctx.expectedModels.update(this.#options.expectedLoads());
    const availableModels = new Map<string, AvailableModels>();
    const knownModels = this.#knownModels.replicas;
    for (const replica of unsettled) {
      const known = knownModels.get(replica);
      if (known) availableModels.set(replica, known);
      const published = this.#heldModels.get(replica);
      if (published) models.push(published);
    }
    for (const { replica, startedAt, names } of models) {
      availableModels.set(replica, { startedAt, names: new Set(names) });
    }
    ctx.replicaTracker.updateAvailableModels(availableModels);
    if (hasChanged) ctx.fleet.changed.notify();
  }

  #notifyLeaseHolder(): void {
    const { engineController, ctx } = this.#options;
    if (engineController.holdsLease) {
      ctx.fleet.changed.notify();
      return;
    }
    const { instance } = this.#holder;
    if (instance !== undefined) this.#peers.announceTo(instance);
  }

  #ownDemand(): Map<string, FleetDemand> {
    const { ctx } = this.#options;
    const own = new Map<string, FleetDemand>();
    for (const demand of ctx.demand.read()) {
      own.set(demand.model, { ...demand, waiting: 0 });
    }
    // Requests accumulate at replicas that are slower than estimated, so the
    // demand is at least what the requests in flight need.
    for (const [name, requests] of ctx.replicaTracker.inFlightByModel()) {
      const before = own.get(name) ?? { model: name, ...NO_DEMAND };
      const fastReplicas = Math.max(
        before.fastReplicas,
        requests / TARGET_REQUESTS_PER_REPLICA,
      );
      own.set(name, { ...before, fastReplicas });
    }
    for (const [name, waiting] of ctx.waitingRequests.waiting) {
      const before = own.get(name) ?? { model: name, ...NO_DEMAND };
      own.set(name, { ...before, waiting });
    }
    return own;
  }

  /**
   * Builds the fields that differ by receiver: the lease holder's models that
   * the receiver doesn't know yet, or the demand for the lease holder.
   */
  #buildPeerReport(peer: string): Partial<GatewayReport> | undefined {
    const { engineController, lease } = this.#options;
    if (engineController.holdsLease) {
      const fencingToken = toUint64(lease.fencingToken);
      const known = this.#knownByPeer.get(peer);
      const base = known?.token === fencingToken ? Number(known.version) : 0;
      return {
        heldModels: {
          $typeName: "banyanspool.v1.HeldModels",
          ...this.#heldModels.changesSince(base),
          fencingToken,
          loads: [...this.#options.expectedLoads()].map((
            [model, readyInMs],
          ) => ({
            $typeName: "banyanspool.v1.ModelLoad",
            model,
            readyInMs: toUint32(readyInMs),
          })),
        },
      };
    }
    if (this.#holder.instance !== peer) return undefined;
    return {
      streamNeeds: this.#options.ctx.waitingRequests.needs.map((need) => ({
        $typeName: "banyanspool.v1.StreamNeed",
        name: need.name,
        softwareVersion: need.version,
        allowedRegions: [...need.allowedRegions ?? []],
      })),
      demand: [...this.#ownDemand().values()].map((demand) => ({
        $typeName: "banyanspool.v1.ModelDemandReport",
        name: demand.model,
        waiting: toUint32(demand.waiting),
        fastReplicas: demand.fastReplicas,
        slowReplicas: demand.slowReplicas,
      })),
    };
  }

  #buildReport(): GatewayReport {
    const { ctx, readSchedule, registry } = this.#options;
    const now = ctx.clock.now();
    const listAge = readSchedule.ownAgeMs;
    const { version, epoch, ageMs } = this.#options.freshness.report;
    return {
      news: this.#recentChanges
        .filter(({ until }) => until > now)
        .map(({ change }) => encodeReplicaChange(change)),
      configurationVersion: toUint64(version),
      configurationEpoch: toUint32(epoch),
      configurationAgeMs: ageMs === undefined ? undefined : toUint32(ageMs),
      leaving: ctx.fleet.isStopping,
      dataCentre: this.#options.cfg.data_centre,
      loads: [...ctx.replicaTracker.ownLoad()].map(([replica, load]) => ({
        $typeName: "banyanspool.v1.ReplicaLoad",
        replica,
        requests: toUint32(load.requests),
        prefillTokens: toUint32(load.prefillTokens),
        kvTokens: toUint32(load.kvTokens),
        adapters: [...load.adapters],
        models: [...load.models].map(([model, requests]) => ({
          $typeName: "banyanspool.v1.ModelInFlight",
          model,
          requests,
        })),
      })),
      suspected: ctx.replicaTracker.suspected(),
      listAgeMs: listAge === undefined ? undefined : toUint32(listAge),
      listDigest: registry.digest,
      leavingReplicas: registry.leaving,
      knowsWindow: ctx.limits.knowsWindow,
      use: [...ctx.limits.currentUsage()].map((
        [organisation, { admitted, inWindow }],
      ) => ({
        $typeName: "banyanspool.v1.OrganisationUse",
        organisation,
        tokens: toInt64(admitted),
        windowTokens: toInt64(inWindow),
      })),
      ...encodeQuarantineReport(ctx.quarantine.report()),
      ...encodeReplicaLimits(ctx.replicaLimits.report()),
      ...encodeEvacuations(ctx.evacuations.report()),
      demand: [],
      streamNeeds: [],
      knownFencingToken: this.#knownModels.fencingToken,
      knownHeldVersion: this.#knownModels.version,
    };
  }

  #applyPeerState(state: GatewayState): void {
    const { ctx } = this.#options;
    ctx.replicaTracker.updatePeerLoad(
      state.instance,
      new Map(state.loads.map((load) => [load.replica, {
        ...load,
        models: new Map(
          load.models.map(({ model, requests }) => [model, requests]),
        ),
      }])),
    );
    ctx.limits.recordReport({
      instance: state.instance,
      incarnation: Number(state.incarnation),
      knowsWindow: state.knowsWindow,
      uses: new Map(
        state.use.map(({ organisation, tokens, windowTokens }) => [
          organisation,
          { admitted: Number(tokens), inWindow: Number(windowTokens) },
        ]),
      ),
    });
    const evacuations = decodeEvacuations(state);
    ctx.evacuations.applyReport(evacuations);
    ctx.evacuationRecords.recordReport(
      state.instance,
      state.incarnation,
      evacuations,
    );
    ctx.replicaLimits.applyReport(state.replicaLimits);
    if (ctx.quarantine.applyReport(decodeQuarantineReport(state))) {
      // This gateway may be able to clear parts that were in flight.
      this.announceSoon();
    }
    for (const id of state.suspected) {
      this.#options.engineController.checkSuspected(id);
    }
    this.#knownByPeer.set(state.instance, {
      token: state.knownFencingToken,
      version: state.knownHeldVersion,
    });
    const demand = new Map(
      state.demand.map((entry) => [entry.name, {
        model: entry.name,
        waiting: entry.waiting,
        fastReplicas: entry.fastReplicas,
        slowReplicas: entry.slowReplicas,
      }]),
    );
    const needs = state.streamNeeds.map((need) => ({
      name: need.name,
      version: need.softwareVersion,
      allowedRegions: need.allowedRegions.length > 0
        ? need.allowedRegions
        : undefined,
    }));
    if (this.#demand.record(state.instance, demand, needs)) {
      ctx.fleet.changed.notify();
    }
    this.#applyAvailableModels(state);
    this.#applyReplicaChanges(state);
    const configurationVersion = Number(state.configurationVersion);
    ctx.fleet.recordPeerVersion(configurationVersion);
    this.#options.freshness.recordPeerReport({
      version: configurationVersion,
      epoch: state.configurationEpoch,
      ageMs: state.configurationAgeMs,
    });
  }

  #applyReplicaChanges(state: GatewayState): void {
    const { registry, readSchedule, onReplicaChange, ctx } = this.#options;
    let hasChanged = false;
    for (const incarnation of state.leavingReplicas) {
      if (registry.markLeaving(incarnation)) hasChanged = true;
    }
    for (const news of state.news) {
      if (registry.applyPeerChange(decodeReplicaChange(news))) {
        hasChanged = true;
      }
    }
    if (hasChanged) onReplicaChange();
    if (state.listAgeMs !== undefined) {
      readSchedule.recordPeerRead(state.listAgeMs);
      if (state.listDigest === registry.digest) {
        readSchedule.recordEqualRead(state.listAgeMs);
        ctx.versionHistory.confirm({ ageMs: state.listAgeMs });
      } else {
        readSchedule.recordDifferentRead(state.listAgeMs);
      }
    }
  }

  #applyAvailableModels(state: GatewayState): void {
    const { ctx } = this.#options;
    const { instance, heldModels } = state;
    if (!heldModels) {
      this.#holder.recordOther(instance);
      return;
    }
    const { fencingToken } = heldModels;
    const isNewHolder = this.#holder.instance !== instance;
    if (!this.#holder.recordHolder({ instance, token: fencingToken })) return;
    if (isNewHolder) {
      ctx.log.write("placement holder", {
        holder: instance,
        fencing_token: Number(fencingToken),
      });
    }
    ctx.expectedModels.update(
      new Map(heldModels.loads.map((load) => [load.model, load.readyInMs])),
    );
    const versionBefore = this.#knownModels.version;
    const publisher = `${instance} ${state.incarnation}`;
    if (!this.#knownModels.apply(heldModels, publisher)) return;
    ctx.replicaTracker.updateAvailableModels(this.#knownModels.replicas);
    if (this.#knownModels.version !== versionBefore || isNewHolder) {
      ctx.fleet.changed.notify();
    }
  }
}
