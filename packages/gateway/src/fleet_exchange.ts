import type { Lease } from "@banyanspool/platform";
import { type AvailableModels, rankByAffinity } from "@banyanspool/routing";
import { type GatewaySettings, splitAddress } from "@banyanspool/settings";
import { createSystemClock, sleep } from "@banyanspool/types";
import type { GatewayState } from "@banyanspool/wire";
import type { GatewayContext } from "./context.ts";
import { type GatewayReport, PeerExchange } from "./peer_exchange.ts";
import type { EngineController } from "./engine_controller.ts";
import type { FleetDemand } from "./placement_models.ts";
import {
  decodeReplicaChange,
  encodeReplicaChange,
} from "./replica_change_codec.ts";
import type { ListReadSchedule } from "./list_read_schedule.ts";
import type { ReplicaChange, ReplicaRegistry } from "./replica_registry.ts";

/** Options of {@link FleetExchange.create}. */
export interface FleetExchangeOptions {
  /** Checked settings. */
  readonly cfg: GatewaySettings;
  /** Where what is heard goes. */
  readonly ctx: GatewayContext;
  /** What this process has ordered, if it holds the lease. */
  readonly engineController: EngineController;
  /** Lease of the duty. */
  readonly lease: Lease;
  /** Replicas, which other gateways bring news of. */
  readonly registry: ReplicaRegistry;
  /** Who read the list of replicas when. */
  readonly readSchedule: ListReadSchedule;
  /** Called when news of another gateway changed the roster. */
  readonly onReplicaChange: () => void;
  /** Called when another gateway has a newer configuration. */
  readonly onNewerConfiguration: () => void;
}

interface HeardDemand {
  readonly heardAt: number;
  readonly demand: ReadonlyMap<string, FleetDemand>;
}

/** Demand counts until its reporter has been silent this long. */
const DEMAND_AGE_MS = 3000;
/** A holder of the duty counts as present until it is silent this long. */
const HOLDER_AGE_MS = 2000;
/** Gateways that watch the lease while its holder is there. */
const CANDIDATES = 2;
/** News of replicas are repeated for this long, as datagrams may be lost. */
const NEWS_MS = 1500;
/** Requests in flight with which a replica still answers quickly. */
const COMFORTABLE_REQUESTS = 20;
const NO_DEMAND = { fastReplicas: 0, slowReplicas: 0, waiting: 0 };

/** What gateways tell each other, and where it goes. */
export class FleetExchange {
  readonly #options: FleetExchangeOptions;
  readonly #peers: PeerExchange;
  readonly #demand: Map<string, HeardDemand> = new Map();
  #holder: { instance: string; token: bigint; heardAt: number } | undefined;
  #isPublishing = false;
  #news: { readonly change: ReplicaChange; readonly until: number }[] = [];

  private constructor(options: FleetExchangeOptions) {
    this.#options = options;
    const { cfg, ctx } = options;
    const { host, port } = splitAddress(cfg.peer_listen);
    this.#peers = PeerExchange.create({
      instance: cfg.instance,
      incarnation: Date.now(),
      host,
      port,
      clock: createSystemClock(),
      log: ctx.log,
      buildReport: () => this.#describe(),
      buildPeerReport: (peer) => this.#describeTo(peer),
      onState: (state) => this.#takeState(state),
      onDatagram: (direction) => ctx.metrics.datagrams.inc({ direction }),
    });
    ctx.waitingRequests.onFirstWaiting = () => this.#tellHolder();
  }

  /** Creates an exchange that doesn't listen yet. */
  static create(options: FleetExchangeOptions): FleetExchange {
    return new FleetExchange(options);
  }

  /** Gateways that were heard lately, this one included. */
  get liveCount(): number {
    return this.#peers.liveCount;
  }

  /** Starts to listen. */
  async listen(): Promise<void> {
    await this.#peers.listen();
  }

  /** Stops to listen. */
  close(): void {
    this.#peers.close();
  }

  /** Adds a gateway that the member table names. */
  addPeer(instance: string, host: string): void {
    this.#peers.addPeer(instance, host);
  }

  /** Sends the state to all at once. */
  announce(): void {
    const { engineController: desk, ctx } = this.#options;
    for (const id of ctx.replicaTracker.suspected()) desk.checkSuspected(id);
    this.#applyOwnOffers();
    this.#peers.announce();
    ctx.limits.markReported();
  }

  /** Sends the state again and again until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.announce();
      this.#peers.expirePeers();
      await sleep(this.#peers.intervalMs, signal).catch(() => {});
    }
  }

  /**
   * Whether this gateway should watch or renew the lease. Few do, so that the
   * store is asked little; all do when no holder is heard.
   */
  mayHoldLease(): boolean {
    const { lease, ctx, cfg } = this.#options;
    if (lease.held) return true;
    const now = ctx.clock.now();
    if (!this.#holder || now - this.#holder.heardAt > HOLDER_AGE_MS) {
      return true;
    }
    const live = [
      { id: cfg.instance },
      ...this.#peers.peers
        .filter(({ lastReceivedAt: heardAt }) => now - heardAt < HOLDER_AGE_MS)
        .map(({ instance }) => ({ id: instance })),
    ];
    return rankByAffinity("placement", live).slice(0, CANDIDATES)
      .some(({ id }) => id === cfg.instance);
  }

  /** Demand of all gateways by `model` or `model/adapter`. */
  fleetDemand(): ReadonlyMap<string, FleetDemand> {
    const now = this.#options.ctx.clock.now();
    const sum = new Map(this.#ownDemand());
    for (const { heardAt, demand } of this.#demand.values()) {
      if (now - heardAt > DEMAND_AGE_MS) continue;
      for (const [name, theirs] of demand) {
        const before = sum.get(name) ?? { model: name, ...NO_DEMAND };
        sum.set(name, {
          model: name,
          fastReplicas: before.fastReplicas + theirs.fastReplicas,
          slowReplicas: before.slowReplicas + theirs.slowReplicas,
          waiting: before.waiting + theirs.waiting,
        });
      }
    }
    return sum;
  }

  /** Tells all gateways what replicas offer, soon and once for many changes. */
  publishAvailableModels(): void {
    this.#applyOwnOffers();
    this.#announceSoon();
  }

  /** Tells all gateways what this one was the first to read. */
  publishReplicaChange(change: ReplicaChange): void {
    const now = this.#options.ctx.clock.now();
    this.#news = this.#news.filter(({ until }) => until > now);
    this.#news.push({ change, until: now + NEWS_MS });
    this.#announceSoon();
  }

  #announceSoon(): void {
    if (this.#isPublishing) return;
    this.#isPublishing = true;
    setImmediate(() => {
      this.#isPublishing = false;
      this.announce();
    });
  }

  #applyOwnOffers(): void {
    const { ctx, engineController: desk } = this.#options;
    if (!desk.holdsLease) return;
    const holdings = new Map<string, AvailableModels>();
    for (const { server, names } of desk.listAvailableModels()) {
      const { id, startedAt } = server;
      holdings.set(id, { startedAt, names: new Set(names) });
    }
    ctx.replicaTracker.updateAvailableModels(holdings);
    ctx.fleet.changed.notify();
  }

  #tellHolder(): void {
    const { engineController: desk, ctx } = this.#options;
    if (desk.holdsLease) {
      ctx.fleet.changed.notify();
      return;
    }
    if (this.#holder) this.#peers.announceTo(this.#holder.instance);
  }

  #ownDemand(): Map<string, FleetDemand> {
    const { ctx } = this.#options;
    const own = new Map<string, FleetDemand>();
    for (const demand of ctx.demand.read()) {
      own.set(demand.model, { ...demand, waiting: 0 });
    }
    // Requests pile up at replicas that are slower than the estimate.
    for (const [name, requests] of ctx.replicaTracker.inFlightByModel()) {
      const before = own.get(name) ?? { model: name, ...NO_DEMAND };
      const fastReplicas = Math.max(
        before.fastReplicas,
        requests / COMFORTABLE_REQUESTS,
      );
      own.set(name, { ...before, fastReplicas });
    }
    for (const [name, waiting] of ctx.waitingRequests.waiting) {
      const before = own.get(name) ?? { model: name, ...NO_DEMAND };
      own.set(name, { ...before, waiting });
    }
    return own;
  }

  /** The holder of the duty alone hears what is wanted here. */
  #describeTo(peer: string): Partial<GatewayReport> | undefined {
    if (this.#holder?.instance !== peer) return undefined;
    return {
      demand: [...this.#ownDemand().values()].map((demand) => ({
        $typeName: "banyanspool.v1.ModelDemandReport",
        name: demand.model,
        waiting: demand.waiting,
        fastReplicas: demand.fastReplicas,
        slowReplicas: demand.slowReplicas,
      })),
    };
  }

  #describe(): GatewayReport {
    const { ctx, engineController: desk, lease, readSchedule: reads } =
      this.#options;
    const now = ctx.clock.now();
    const listAge = reads.ownAgeMs;
    return {
      news: this.#news
        .filter(({ until }) => until > now)
        .map(({ change }) => encodeReplicaChange(change)),
      configurationVersion: BigInt(ctx.fleet.version),
      leaving: ctx.fleet.isStopping,
      loads: [...ctx.replicaTracker.ownLoad()].map(([replica, work]) => ({
        $typeName: "banyanspool.v1.ReplicaLoad",
        replica,
        requests: work.requests,
        prefillTokens: Math.round(work.prefillTokens),
        kvTokens: work.kvTokens,
        adapters: [...work.adapters],
        models: [...work.models].map(([model, requests]) => ({
          $typeName: "banyanspool.v1.ModelInFlight",
          model,
          requests,
        })),
      })),
      suspected: ctx.replicaTracker.suspected(),
      listAgeMs: listAge === undefined ? undefined : Math.round(listAge),
      knowsWindow: ctx.limits.knowsWindow,
      use: [...ctx.limits.currentUsage()].map((
        [organisation, { admitted, inWindow }],
      ) => ({
        $typeName: "banyanspool.v1.OrganisationUse",
        organisation,
        tokens: BigInt(Math.round(admitted)),
        windowTokens: BigInt(Math.round(inWindow)),
      })),
      demand: [],
      heldModels: !desk.holdsLease ? undefined : {
        $typeName: "banyanspool.v1.HeldModels",
        fencingToken: BigInt(lease.fencingToken),
        version: BigInt(desk.version),
        replicas: desk.listAvailableModels().map(({ server, names }) => ({
          $typeName: "banyanspool.v1.ReplicaHoldings",
          replica: server.id,
          startedAt: BigInt(server.startedAt),
          names,
        })),
      },
    };
  }

  #takeState(state: GatewayState): void {
    const { ctx } = this.#options;
    const now = ctx.clock.now();
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
    for (const id of state.suspected) {
      this.#options.engineController.checkSuspected(id);
    }
    const before = this.#demand.get(state.instance);
    const demand = new Map(
      state.demand.map((entry) => [entry.name, {
        model: entry.name,
        waiting: entry.waiting,
        fastReplicas: entry.fastReplicas,
        slowReplicas: entry.slowReplicas,
      }]),
    );
    this.#demand.set(state.instance, { heardAt: now, demand });
    if (hasNewWant(demand, before?.demand)) ctx.fleet.changed.notify();
    this.#takeHoldings(state, now);
    this.#takeNews(state);
    if (Number(state.configurationVersion) > ctx.fleet.version) {
      this.#options.onNewerConfiguration();
    }
  }

  #takeNews(state: GatewayState): void {
    const { registry: roster, readSchedule: reads, onReplicaChange: onNews } =
      this.#options;
    if (state.listAgeMs !== undefined) reads.recordPeerRead(state.listAgeMs);
    let isNew = false;
    for (const news of state.news) {
      if (roster.applyPeerChange(decodeReplicaChange(news))) isNew = true;
    }
    if (isNew) onNews();
  }

  #takeHoldings(state: GatewayState, now: number): void {
    const { ctx } = this.#options;
    const { heldModels } = state;
    if (!heldModels) {
      if (this.#holder?.instance === state.instance) this.#holder = undefined;
      return;
    }
    const { fencingToken } = heldModels;
    if (this.#holder && fencingToken < this.#holder.token) return;
    if (this.#holder?.instance !== state.instance) {
      ctx.log.write("placement holder", {
        holder: state.instance,
        fencing_token: Number(fencingToken),
      });
    }
    this.#holder = {
      instance: state.instance,
      token: fencingToken,
      heardAt: now,
    };
    const holdings = new Map<string, AvailableModels>();
    for (const { replica, startedAt, names } of heldModels.replicas) {
      holdings.set(replica, {
        startedAt: Number(startedAt),
        names: new Set(names),
      });
    }
    ctx.replicaTracker.updateAvailableModels(holdings);
    ctx.fleet.changed.notify();
  }
}

function hasNewWant(
  demand: ReadonlyMap<string, FleetDemand>,
  before: ReadonlyMap<string, FleetDemand> | undefined,
): boolean {
  for (const [name, { waiting }] of demand) {
    if (waiting > 0 && !before?.get(name)?.waiting) return true;
  }
  return false;
}
