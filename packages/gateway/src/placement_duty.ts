import type { EventLog } from "@banyanspool/logger";
import type { Lease } from "@banyanspool/platform";
import type { OrderOutcome } from "@banyanspool/platform-adapter";
import {
  readEngineReport,
  sendEngineOrder,
} from "@banyanspool/platform-adapter";
import {
  type AdapterHost,
  assemblePlacementPlan,
  chooseProtectedModels,
  fitsAdapter,
  fitsModel,
  type PlacementModel,
  type PlacementMove,
  planAdapterLoad,
} from "@banyanspool/placement";
import type { ReplicaBoard } from "@banyanspool/routing";
import type {
  BackendServer,
  Clock,
  EngineSpec,
  ModelDemand,
  ReplicaReport,
  Sleep,
} from "@banyanspool/types";
import type { ConnectionPools } from "./connection_pools.ts";
import {
  applyReport,
  createEngineState,
  type EngineState,
  listOffered,
} from "./engine_state.ts";
import type { FleetState } from "./fleet_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { LoadAllowance } from "./load_allowance.ts";

/** Demand of one model or adapter over all gateways. */
export interface FleetDemand extends ModelDemand {
  /** Requests that wait because no replica holds it. */
  readonly waiting: number;
}

/** Options of {@link PlacementDuty.create}. */
export interface PlacementDutyOptions {
  /** Lease of the duty. */
  readonly lease: Lease;
  /** Name by which orders are given. */
  readonly holder: string;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Configuration and changes. */
  readonly fleet: FleetState;
  /** Replicas and their work. */
  readonly board: ReplicaBoard;
  /** Connections to replicas. */
  readonly pools: ConnectionPools;
  /** Demand by `model` or `model/adapter`. */
  readonly demand: () => ReadonlyMap<string, FleetDemand>;
  /** Called when what replicas offer has changed. */
  readonly onOffered: () => void;
  /** Structured log. */
  readonly log: EventLog;
  /** Metrics. */
  readonly metrics: GatewayMetrics;
}

/** How often plans are made without being woken, in ms. */
const ROUND_MS = 150;
/** Reports are some hundred ms old; an order shows in them after this. */
const REPORT_LAG_MS = 350;
/** How often the report is read while an order is being carried out, in ms. */
const REPORT_INTERVAL_MS = 100;
/** Time for the reports of listed replicas before plans go without them, in ms. */
const FIRST_REPORTS_MS = 1500;
/** Time for entries to stop sending what is about to be unloaded, in ms. */
const WITHDRAW_MS = 40;
/** Time that an adapter needs from order to use, in ms. */
const ADAPTER_LOAD_MS = 12;
/** An adapter stays this long after it was asked for, in ms. */
const ADAPTER_STAY_MS = 300;
/** An order is given up when its effect does not show within this, in ms. */
const ORDER_LIMIT_MS = 12_000;
/** Moves under way at the same time. */
const MAX_MOVES = 6;
/** Share of a replica's time above which a further copy is looked for. */
const BUSY_SHARE = 0.25;
/** Least relief that is worth a load. */
const MIN_GAIN = 0.05;
/** A model stays at least this long after its load, in ms. */
const MODEL_STAY_MS = 6000;
/** Puts models that requests wait for before others, in replicas. */
const WAITING_REPLICAS = 0.01;

/**
 * Orders models and adapters to replicas while this process holds the lease.
 * Orders to one replica are given one after the other, each under the number
 * of orders that the replica has accepted, so that a late one is rejected.
 */
export class PlacementDuty {
  readonly #options: PlacementDutyOptions;
  readonly #engines: Map<string, EngineState> = new Map();
  readonly #moves: Map<string, PlacementMove> = new Map();
  readonly #adaptersUnderWay: Set<string> = new Set();
  readonly #adapterUse: Map<string, number> = new Map();
  readonly #allowance: LoadAllowance;
  #version = 0;

  private constructor(options: PlacementDutyOptions) {
    this.#options = options;
    this.#allowance = LoadAllowance.create({ clock: options.clock });
  }

  /** Creates the duty; it does nothing without the lease. */
  static create(options: PlacementDutyOptions): PlacementDuty {
    return new PlacementDuty(options);
  }

  /** Whether this process gives the orders. */
  get isHolder(): boolean {
    return this.#options.lease.held;
  }

  /** Rises with each change of what replicas offer. */
  get version(): number {
    return this.#version;
  }

  /** What each replica offers, by id; only of those that are known. */
  offered(): { server: BackendServer; names: string[] }[] {
    return [...this.#engines.values()]
      .filter(({ isSynced }) => isSynced)
      .map((state) => ({ server: state.server, names: listOffered(state) }));
  }

  /** Plans and gives orders until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { fleet, log } = this.#options;
    let wasHolder = false;
    while (!signal.aborted) {
      if (this.isHolder !== wasHolder) {
        wasHolder = this.isHolder;
        log.write(wasHolder ? "placement lease held" : "placement lease lost", {
          fencing_token: this.#options.lease.fencingToken,
        });
        this.#engines.clear();
        this.#moves.clear();
        this.#adaptersUnderWay.clear();
      }
      if (wasHolder) this.#round();
      await fleet.changed.wait(ROUND_MS, signal);
    }
  }

  #round(): void {
    const { fleet, board } = this.#options;
    const { inForce } = fleet;
    if (!inForce || !fleet.hasServers) return;
    this.#followList();
    for (const [name, spec] of inForce.configuration.services) {
      if (!spec.engine) continue;
      const servers = [...board.servers.values()]
        .filter(({ service }) => service === name);
      this.#planModels(spec.engine, servers);
      this.#planAdapters(spec.engine, servers);
    }
  }

  /** Starts to know listed replicas and forgets those that are gone. */
  #followList(): void {
    const { board, fleet } = this.#options;
    for (const server of board.servers.values()) {
      const spec = fleet.inForce!.configuration.services.get(server.service);
      if (!spec?.engine) continue;
      const known = this.#engines.get(server.id);
      if (known && known.server.startedAt === server.startedAt) {
        known.server = server;
        // An order of an earlier holder may still be in progress, and what it
        // loads shows only when it has ended.
        if (known.isSynced && known.isBusy && known.queuedOrders === 0) {
          this.#enqueue(known, () => this.#resync(known));
        }
        continue;
      }
      const state = createEngineState(server, this.#options.clock.now());
      this.#engines.set(server.id, state);
      this.#moves.delete(server.id);
      this.#enqueue(state, () => this.#sync(state));
    }
    for (const id of this.#engines.keys()) {
      if (board.servers.has(id)) continue;
      this.#engines.delete(id);
      this.#moves.delete(id);
    }
  }

  #planModels(engine: EngineSpec, servers: readonly BackendServer[]): void {
    if (this.#isReportMissing(servers)) return;
    const demand = this.#options.demand();
    const reports = servers.flatMap((server) => {
      const state = this.#engines.get(server.id);
      return state?.isSynced ? [describeEngine(state, engine)] : [];
    });
    const ids = new Set(servers.map(({ id }) => id));
    const underWay = [...this.#moves.values()]
      .filter(({ replica }) => ids.has(replica));
    const isIdle = ({ replica }: ReplicaReport) =>
      !this.#moves.has(replica) && !this.#engines.get(replica)!.isBusy;
    const idle = reports.filter(isIdle);
    const plan = assemblePlacementPlan({
      models: listModels(engine, demand, reports),
      replicas: [
        ...idle,
        ...reports.filter((report) => !isIdle(report))
          .map((report) => ({ ...report, memoryMib: 0 })),
      ],
      underWay,
      staying: this.#listStaying(reports),
      inUse: this.#countUse(reports),
    }, {
      maxMoves: MAX_MOVES,
      busyShare: BUSY_SHARE,
      kvShare: 0,
      minGain: MIN_GAIN,
    });
    for (const move of plan) this.#startMove(move, engine);
  }

  /** Whether a replica was listed only now and has not been asked yet. */
  #isReportMissing(servers: readonly BackendServer[]): boolean {
    const now = this.#options.clock.now();
    return servers.some(({ id, leaving }) => {
      const state = this.#engines.get(id);
      if (!state || leaving || state.isSynced) return false;
      return now - state.listedAt < FIRST_REPORTS_MS;
    });
  }

  /** Models that were loaded only lately, as `replica model`. */
  #listStaying(reports: readonly ReplicaReport[]): Set<string> {
    const now = this.#options.clock.now();
    const staying = new Set<string>();
    for (const { replica } of reports) {
      const { loadedAt } = this.#engines.get(replica)!;
      for (const [model, at] of loadedAt) {
        if (now - at < MODEL_STAY_MS) staying.add(`${replica} ${model}`);
      }
    }
    return staying;
  }

  /** Requests in flight by `replica model`. */
  #countUse(reports: readonly ReplicaReport[]): Map<string, number> {
    const use = new Map<string, number>();
    for (const { replica } of reports) {
      const { models } = this.#options.board.workAt(replica);
      for (const [model, requests] of models) {
        use.set(`${replica} ${model}`, requests);
      }
    }
    return use;
  }

  #startMove(move: PlacementMove, engine: EngineSpec): void {
    const state = this.#engines.get(move.replica);
    if (!state || state.queuedOrders > 0 || state.isBusy) return;
    if (
      !state.atHand.has(move.load) &&
      !this.#allowance.take(engine.loadsPerS)
    ) return;
    this.#moves.set(move.replica, move);
    this.#options.log.write("model move", { ...move });
    this.#enqueue(state, async () => {
      try {
        await this.#carryOut(state, move, engine);
      } finally {
        if (this.#moves.get(move.replica) === move) {
          this.#moves.delete(move.replica);
        }
      }
    });
  }

  async #carryOut(
    state: EngineState,
    move: PlacementMove,
    engine: EngineSpec,
  ): Promise<void> {
    for (const model of move.unload) {
      if (!state.models.has(model)) continue;
      if (!await this.#unloadModel(state, model)) return;
    }
    if (state.models.has(move.load) || !fitsModel(move.load, state, engine)) {
      return;
    }
    const outcome = await this.#order(state, {
      operation: "load",
      model: move.load,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await this.#resync(state);
      return;
    }
    await this.#awaitEffect(state, () => state.models.has(move.load));
    state.loadedAt.set(move.load, this.#options.clock.now());
  }

  async #unloadModel(state: EngineState, model: string): Promise<boolean> {
    const names = listOffered(state)
      .filter((name) => name === model || name.startsWith(`${model}/`));
    for (const name of names) state.withdrawn.add(name);
    this.#changed();
    await this.#options.sleep(WITHDRAW_MS);
    try {
      const outcome = await this.#order(state, { operation: "unload", model });
      if (outcome !== "accepted" && outcome !== "done") {
        await this.#resync(state);
        return false;
      }
      return await this.#awaitEffect(state, () => !state.models.has(model));
    } finally {
      for (const name of names) state.withdrawn.delete(name);
      this.#changed();
    }
  }

  /** Reads reports until the engine is idle and a condition holds. */
  async #awaitEffect(
    state: EngineState,
    isDone: () => boolean,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const giveUpAt = clock.now() + ORDER_LIMIT_MS;
    const orders = state.acceptedOrders;
    while (this.isHolder && clock.now() < giveUpAt && this.#isKnown(state)) {
      await this.#options.sleep(REPORT_INTERVAL_MS);
      const read = await readEngineReport(
        state.server,
        this.#options.pools.of(state.server).pool,
      );
      // An older report doesn't know of the order yet.
      if (!read.ok || read.value.acceptedOrders < orders) continue;
      if (read.value.busy) continue;
      applyReport(state, read.value);
      this.#changed();
      return isDone();
    }
    return false;
  }

  #planAdapters(engine: EngineSpec, servers: readonly BackendServer[]): void {
    const { clock, demand } = this.#options;
    for (const [name, { waiting }] of demand()) {
      if (!name.includes("/") || waiting === 0) continue;
      if (this.#adaptersUnderWay.has(name)) continue;
      const [model = ""] = name.split("/");
      if (!engine.models.has(model)) continue;
      const hosts = servers.flatMap((server) => {
        const state = this.#engines.get(server.id);
        if (!state?.isSynced || server.leaving) return [];
        if (!state.models.has(model) || state.withdrawn.has(model)) return [];
        if (state.isBusy || this.#moves.has(server.id)) return [];
        return [{ state, host: this.#describeHost(state, engine) }];
      });
      this.#adapterUse.set(name, clock.now());
      if (hosts.some(({ state }) => state.adapters.has(name))) continue;
      const move = planAdapterLoad(hosts.map(({ host }) => host));
      if (!move) continue;
      const { state } = hosts.find(({ host }) =>
        host.replica === move.replica
      )!;
      this.#startAdapterLoad(state, { name, evict: move.evict }, engine);
    }
  }

  #startAdapterLoad(
    state: EngineState,
    { name, evict }: { name: string; evict?: string },
    engine: EngineSpec,
  ): void {
    this.#adaptersUnderWay.add(name);
    state.planned.add(name);
    if (evict !== undefined) {
      state.withdrawn.add(evict);
      this.#changed();
    }
    this.#options.log.write("adapter load", {
      adapter: name,
      replica: state.server.id,
      evict,
    });
    this.#enqueue(state, async () => {
      try {
        await this.#loadAdapter(state, { name, evict }, engine);
      } finally {
        this.#adaptersUnderWay.delete(name);
        state.planned.delete(name);
        if (evict !== undefined) state.withdrawn.delete(evict);
      }
    });
  }

  async #loadAdapter(
    state: EngineState,
    { name, evict }: { name: string; evict?: string },
    engine: EngineSpec,
  ): Promise<void> {
    if (evict !== undefined && state.adapters.has(evict)) {
      if (!await this.#unloadAdapter(state, evict)) return;
    }
    const [model = "", adapter = ""] = name.split("/");
    if (!state.models.has(model) || !fitsAdapter(model, state, engine)) return;
    const outcome = await this.#order(state, {
      operation: "load",
      model,
      adapter,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await this.#resync(state);
      return;
    }
    await this.#options.sleep(ADAPTER_LOAD_MS);
    state.adapters.add(name);
    this.#changed();
  }

  async #unloadAdapter(state: EngineState, name: string): Promise<boolean> {
    await this.#options.sleep(WITHDRAW_MS);
    const [model = "", adapter = ""] = name.split("/");
    const outcome = await this.#order(state, {
      operation: "unload",
      model,
      adapter,
    });
    if (outcome === "done") {
      state.adapters.delete(name);
      return true;
    }
    await this.#resync(state);
    return outcome === "accepted" && !state.adapters.has(name);
  }

  async #order(
    state: EngineState,
    order: { operation: "load" | "unload"; model: string; adapter?: string },
  ): Promise<OrderOutcome | "lease lost"> {
    const { lease, holder, pools, log, metrics } = this.#options;
    if (!lease.held || !this.#isKnown(state)) return "lease lost";
    const { fencingToken } = lease;
    const expectedOrders = state.acceptedOrders;
    const outcome = await sendEngineOrder(state.server, {
      ...order,
      expectedOrders,
      holder,
      fencingToken,
    }, pools.of(state.server).pool);
    if (outcome === "accepted" || outcome === "done") {
      state.acceptedOrders += 1;
    }
    metrics.orders.inc({ operation: order.operation, outcome });
    log.write("engine order", {
      replica: state.server.id,
      ...order,
      expected_orders: expectedOrders,
      fencing_token: fencingToken,
      outcome,
    });
    return outcome;
  }

  /** Reads the report once it must show what happened before. */
  async #resync(state: EngineState): Promise<void> {
    await this.#options.sleep(REPORT_LAG_MS);
    await this.#sync(state);
  }

  async #sync(state: EngineState): Promise<void> {
    const { pools, log, sleep } = this.#options;
    while (this.isHolder && this.#isKnown(state)) {
      const read = await readEngineReport(
        state.server,
        pools.of(state.server).pool,
      );
      if (read.ok) {
        applyReport(state, read.value);
        this.#changed();
        return;
      }
      log.write("engine report missing", {
        replica: state.server.id,
        detail: read.error,
      });
      await sleep(REPORT_LAG_MS);
    }
  }

  /** Runs a task behind all others of the replica. */
  #enqueue(state: EngineState, task: () => Promise<void>): void {
    state.queuedOrders += 1;
    state.orders = state.orders.then(task).catch((error) => {
      this.#options.log.write("engine task failed", { error: String(error) });
    }).finally(() => {
      state.queuedOrders -= 1;
    });
  }

  #isKnown(state: EngineState): boolean {
    return this.#engines.get(state.server.id) === state;
  }

  #changed(): void {
    this.#version += 1;
    this.#options.onOffered();
  }

  #describeHost(state: EngineState, engine: EngineSpec): AdapterHost {
    const { board, clock, demand } = this.#options;
    const { adapters } = board.workAt(state.server.id);
    const now = clock.now();
    for (const adapter of adapters) this.#adapterUse.set(adapter, now);
    const inUse = new Set([...adapters, ...state.planned]);
    const fleetDemand = demand();
    for (const name of state.adapters) {
      const isWanted = (fleetDemand.get(name)?.waiting ?? 0) > 0;
      const usedAt = this.#adapterUse.get(name) ?? -Infinity;
      if (isWanted || now - usedAt < ADAPTER_STAY_MS) inUse.add(name);
    }
    const staying = [...state.adapters]
      .filter((name) => !state.withdrawn.has(name));
    return {
      replica: state.server.id,
      adapters: [...new Set([...staying, ...state.planned])],
      inUse,
      lastUsed: this.#adapterUse,
      places: engine.adapterSlots,
      queuedOrders: state.queuedOrders,
    };
  }
}

function listModels(
  engine: EngineSpec,
  demand: ReadonlyMap<string, FleetDemand>,
  reports: readonly ReplicaReport[],
): PlacementModel[] {
  const waiting = new Map<string, number>();
  for (const [name, entry] of demand) {
    const model = name.split("/")[0]!;
    waiting.set(model, (waiting.get(model) ?? 0) + entry.waiting);
  }
  const held = new Set(reports.flatMap(({ readyModels }) => readyModels));
  const staying = reports.filter(({ leaving }) => !leaving);
  const isProtected = chooseProtectedModels(
    [...engine.models.keys()].map((name) => ({
      name,
      demand: demandOf(demand.get(name)),
      waiting: waiting.get(name) ?? 0,
      isHeld: held.has(name),
    })),
    staying.length * countPlaces(engine),
  );
  return [...engine.models.values()].map(({ name, weightsMb }) => {
    const asked = demand.get(name);
    const fast = (asked?.fastReplicas ?? 0) +
      (waiting.get(name) ?? 0) * WAITING_REPLICAS;
    const slow = asked?.slowReplicas ?? 0;
    return {
      name,
      weightsMib: weightsMb,
      contextKvMib: 0,
      minReplicas: isProtected.has(name) ? 1 : 0,
      fastReplicas: fast,
      slowReplicas: slow,
    };
  });
}

function demandOf(asked: FleetDemand | undefined): number {
  return Math.max(asked?.fastReplicas ?? 0, asked?.slowReplicas ?? 0);
}

/** Models of the average size that one replica holds. */
function countPlaces(engine: EngineSpec): number {
  let sumMb = 0;
  for (const { weightsMb } of engine.models.values()) sumMb += weightsMb;
  return Math.floor(engine.weightsMb * engine.models.size / sumMb);
}

function describeEngine(state: EngineState, engine: EngineSpec): ReplicaReport {
  const { server } = state;
  let weightsMib = 0;
  for (const name of state.models) {
    weightsMib += engine.models.get(name)?.weightsMb ?? 0;
  }
  let adapterMb = 0;
  for (const model of engine.models.values()) {
    adapterMb = Math.max(adapterMb, model.adapterMb);
  }
  return {
    replica: server.id,
    instance: server.id,
    agentIncarnation: 0,
    address: server.address,
    dataCentre: server.dataCentre,
    sequence: state.acceptedOrders,
    readyModels: [...state.models],
    readyAdapters: [...state.adapters],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: engine.slots,
    weightsMib,
    // Room for all adapters is kept free.
    memoryMib: engine.weightsMb - engine.adapterSlots * adapterMb,
    prefillTokensPerS: 0,
    decodeUsPerToken: 0,
    leaving: server.leaving,
  };
}
