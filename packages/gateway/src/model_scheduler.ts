import type { EventLog } from "@banyanspool/logger";
import {
  assemblePlacementPlan,
  fitsModel,
  type GroupNeed,
  LongTermDemand,
  type PlacementMove,
} from "@banyanspool/placement";
import type { ReplicaTracker } from "@banyanspool/routing";
import type {
  BackendServer,
  Clock,
  EngineSpec,
  ReplicaReport,
  Sleep,
} from "@banyanspool/types";
import type { EngineController } from "./engine_controller.ts";
import { type EngineState, listAvailableNames } from "./engine_state.ts";
import { ModelLoadLimiter } from "./model_load_limiter.ts";
import {
  buildPlacementModels,
  buildReplicaReport,
  type FleetDemand,
} from "./placement_models.ts";
import { mayServeNeed } from "./serve_need.ts";
import type { StreamNeed } from "./waiting_request_counts.ts";

/** Options of {@link ModelScheduler.create}. */
export interface ModelSchedulerOptions {
  /** Sends orders to the engines. */
  readonly engineController: EngineController;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Load of each replica, by model and adapter. */
  readonly replicaTracker: ReplicaTracker;
  /** Demand of all gateways by `model` or `model/adapter`. */
  readonly demand: () => ReadonlyMap<string, FleetDemand>;
  /** What cut-off streams wait for at all gateways. */
  readonly streamNeeds: () => readonly StreamNeed[];
  /** Whether a replica limits its requests, of which orders are some. */
  readonly isLimited: (server: BackendServer) => boolean;
  /** Structured log. */
  readonly log: EventLog;
}

interface MoveInProgress {
  readonly move: PlacementMove;
  readonly state: EngineState;
  /** When the loaded model is expected to accept requests, in ms. */
  readonly readyAt: number;
}

/** Planning waits this long for the first report of a listed replica, in ms. */
const FIRST_REPORT_WAIT_MS = 1500;
/** Time for gateways to stop routing to a model about to be unloaded, in ms. */
const UNLOAD_NOTICE_MS = 40;
/** Maximum number of moves that a planning round starts. */
const MAX_NEW_MOVES = 6;
/** Share of a replica's time in use above which a further copy is planned. */
const BUSY_SHARE = 0.25;
/** Minimum drop of the sum of squared busy shares that justifies a model load. */
const MIN_GAIN = 0.05;
/** Minimum time between the load and the unload of a model, in ms. */
const MIN_RESIDENCY_MS = 6000;

/**
 * Time that an engine takes to drop a model without requests, in ms, and the
 * interval at which the requests that it waits for are counted again.
 */
const UNLOAD_MS = 50;
/**
 * Longest wait for the requests of a model that is being unloaded, in ms. Those of
 * other gateways are counted by reports that may be as old.
 */
const MAX_UNLOAD_WAIT_MS = 1000;

/** Assumed time of a load from a local copy, in ms. */
const LOCAL_LOAD_MS = 700;
/** Time from the end of a load until all gateways know of it, in ms. */
const ANNOUNCEMENT_MS = 300;

/** Loads models where there is demand for them and unloads others. */
export class ModelScheduler {
  readonly #options: ModelSchedulerOptions;
  readonly #moves: Map<string, MoveInProgress> = new Map();
  readonly #modelLoadLimiter: ModelLoadLimiter;
  readonly #longTermDemand: LongTermDemand;

  private constructor(options: ModelSchedulerOptions) {
    this.#options = options;
    this.#modelLoadLimiter = ModelLoadLimiter.create({
      clock: options.clock,
      term: options.engineController.leaseTerm,
    });
    this.#longTermDemand = LongTermDemand.create({ clock: options.clock });
  }

  /** Creates a scheduler without moves in progress. */
  static create(options: ModelSchedulerOptions): ModelScheduler {
    return new ModelScheduler(options);
  }

  /** Whether a model is being loaded to or unloaded from a replica. */
  hasMoveInProgress(replica: string): boolean {
    const current = this.#moves.get(replica);
    return current !== undefined &&
      current.state === this.#options.engineController.get(replica);
  }

  /** Time until each model that is being loaded is expected, in ms. */
  expectedLoads(): Map<string, number> {
    const now = this.#options.clock.now();
    const expected = new Map<string, number>();
    for (const [replica, { move, readyAt }] of this.#moves) {
      if (!this.hasMoveInProgress(replica)) continue;
      const readyInMs = Math.max(0, Math.round(readyAt - now));
      const earliest = expected.get(move.load) ?? Infinity;
      expected.set(move.load, Math.min(earliest, readyInMs));
    }
    return expected;
  }

  /**
   * Plans and starts the next moves of one service with the given replicas.
   * Urgent models come first while none of these has them.
   */
  plan(
    engine: EngineSpec,
    servers: readonly BackendServer[],
    urgentModels: readonly string[] = [],
  ): void {
    const { engineController } = this.#options;
    this.#modelLoadLimiter.followTerm(engineController.leaseTerm);
    if (this.#isReportMissing(servers)) return;
    const reports = servers.flatMap((server) => {
      const state = engineController.get(server.id);
      return state?.isSynced ? [buildReplicaReport(state, engine)] : [];
    });
    const ids = new Set(servers.map(({ id }) => id));
    const pendingMoves = [...this.#moves.values()]
      .map(({ move }) => move)
      .filter(({ replica }) =>
        ids.has(replica) && this.hasMoveInProgress(replica)
      );
    const limitedReplicas = this.#listLimitedReplicas(servers);
    const mayLoad = ({ replica }: ReplicaReport) =>
      !this.hasMoveInProgress(replica) &&
      !engineController.get(replica)!.isBusy &&
      engineController.get(replica)!.refusedUntil <=
        this.#options.clock.now() &&
      (!limitedReplicas.has(replica) ||
        limitedReplicas.size === servers.length);
    const demand = this.#options.demand();
    this.#longTermDemand.record(demand);
    const expected = this.#longTermDemand.expectedOf(engine.models.keys());
    const plan = assemblePlacementPlan({
      models: buildPlacementModels(engine, {
        demand,
        longTermDemand: (model) => expected.get(model) ?? 0,
        reports,
        adaptersInUse: this.#listAdaptersInUse(reports),
        limitedReplicas,
      }),
      // Nothing fits into a replica without memory.
      replicas: reports.map((report) =>
        mayLoad(report) ? report : { ...report, memoryMib: 0 }
      ),
      pendingMoves,
      keepResident: this.#listRecentlyLoaded(reports),
      inUse: this.#countRequestsInFlight(reports),
      localCopies: this.#listLocalCopies(reports),
      groupNeeds: this.#listGroupNeeds(engine, servers),
      urgentModels,
    }, {
      maxMoves: pendingMoves.length + MAX_NEW_MOVES,
      busyShare: BUSY_SHARE,
      kvShare: 0,
      minGain: MIN_GAIN,
    });
    for (const move of plan) this.#startMove(move, engine);
  }

  /** The models that cut-off streams and bound requests need, and where. */
  #listGroupNeeds(
    engine: EngineSpec,
    servers: readonly BackendServer[],
  ): GroupNeed[] {
    const needs = new Map<string, GroupNeed>();
    for (const need of this.#options.streamNeeds()) {
      const { name, version, allowedRegions } = need;
      const model = name.split("/")[0]!;
      if (!engine.models.has(model)) continue;
      const replicas = servers
        .filter((server) =>
          mayServeNeed(server, {
            need,
            replicaTracker: this.#options.replicaTracker,
          })
        )
        .map(({ id }) => id);
      const key = JSON.stringify([model, version, allowedRegions]);
      needs.set(key, { model, replicas: new Set(replicas) });
    }
    return [...needs.values()];
  }

  #listLimitedReplicas(servers: readonly BackendServer[]): Set<string> {
    const { isLimited } = this.#options;
    return new Set(servers.filter(isLimited).map(({ id }) => id));
  }

  /** Whether the first report of a replica listed recently is still missing. */
  #isReportMissing(servers: readonly BackendServer[]): boolean {
    const { engineController, clock } = this.#options;
    const now = clock.now();
    return servers.some(({ id, draining }) => {
      const state = engineController.get(id);
      if (!state || draining || state.isSynced) return false;
      return now - state.firstListedAt < FIRST_REPORT_WAIT_MS;
    });
  }

  /** Models loaded too recently to be unloaded, as `replica model`. */
  #listRecentlyLoaded(reports: readonly ReplicaReport[]): Set<string> {
    const { engineController, clock } = this.#options;
    const now = clock.now();
    const recent = new Set<string>();
    for (const { replica } of reports) {
      const { loadedAt } = engineController.get(replica)!;
      for (const [model, at] of loadedAt) {
        if (now - at < MIN_RESIDENCY_MS) recent.add(`${replica} ${model}`);
      }
    }
    return recent;
  }

  /** Models of which a replica has a local copy, as `replica model`. */
  #listLocalCopies(reports: readonly ReplicaReport[]): Set<string> {
    const { engineController } = this.#options;
    const copies = new Set<string>();
    for (const { replica } of reports) {
      for (const model of engineController.get(replica)!.localCopies) {
        copies.add(`${replica} ${model}`);
      }
    }
    return copies;
  }

  #listAdaptersInUse(reports: readonly ReplicaReport[]): Set<string> {
    const { replicaTracker } = this.#options;
    return new Set(
      reports.flatMap((
        { replica },
      ) => [...replicaTracker.loadAt(replica).adapters]),
    );
  }

  /** Requests in flight by `replica model`. */
  #countRequestsInFlight(
    reports: readonly ReplicaReport[],
  ): Map<string, number> {
    const use = new Map<string, number>();
    for (const { replica } of reports) {
      const { models } = this.#options.replicaTracker.loadAt(replica);
      for (const [model, requests] of models) {
        use.set(`${replica} ${model}`, requests);
      }
    }
    return use;
  }

  #startMove(move: PlacementMove, engine: EngineSpec): void {
    const { engineController, clock, log } = this.#options;
    const state = engineController.get(move.replica);
    if (!state || state.isBusy) return;
    // The move may follow adapter loads, but no other task.
    if (state.queuedTasks > state.plannedAdapters.size) return;
    if (
      !state.localCopies.has(move.load) &&
      !this.#modelLoadLimiter.tryAcquire(engine.modelLoadsPerS)
    ) return;
    const loadMs = state.localCopies.has(move.load)
      ? LOCAL_LOAD_MS
      : engine.models.get(move.load)?.modelLoadMs ?? 0;
    const readyAt = clock.now() + loadMs + ANNOUNCEMENT_MS;
    this.#moves.set(move.replica, { move, state, readyAt });
    engineController.notifyAvailableModelsChange();
    log.write("model move", describeMove(move));
    engineController.enqueue(state, async () => {
      try {
        await this.#executeMove(state, move, engine);
      } finally {
        if (this.#moves.get(move.replica)?.move === move) {
          this.#moves.delete(move.replica);
        }
      }
    });
  }

  async #executeMove(
    state: EngineState,
    move: PlacementMove,
    engine: EngineSpec,
  ): Promise<void> {
    const { engineController } = this.#options;
    const names = listAvailableNames(state).filter((name) =>
      move.unload.includes(name.split("/")[0]!)
    );
    try {
      if (await this.#unloadModels(state, move, names)) {
        await this.#loadModel(state, move.load, engine);
      }
    } finally {
      for (const name of names) state.unloading.delete(name);
      engineController.notifyAvailableModelsChange();
    }
  }

  /** Returns whether all unloads were accepted; the last may be in progress. */
  async #unloadModels(
    state: EngineState,
    move: PlacementMove,
    names: readonly string[],
  ): Promise<boolean> {
    if (names.length === 0) return true;
    const { engineController, sleep } = this.#options;
    for (const name of names) state.unloading.add(name);
    engineController.notifyAvailableModelsChange();
    await sleep(UNLOAD_NOTICE_MS);
    for (const model of move.unload) {
      if (!state.models.has(model)) continue;
      const outcome = await engineController.orderWhenIdle(state, {
        operation: "unload",
        model,
      });
      if (outcome !== "accepted" && outcome !== "done") {
        await engineController.resync(state);
        return false;
      }
      for (const name of names) {
        if (name.split("/")[0] !== model) continue;
        state.models.delete(name);
        state.adapters.delete(name);
      }
      await this.#awaitUnload(state, model);
    }
    return true;
  }

  /**
   * Waits until an engine has probably dropped a model: it takes no other order
   * before the last request for the model has ended.
   */
  async #awaitUnload(state: EngineState, model: string): Promise<void> {
    const { clock, sleep, replicaTracker, engineController } = this.#options;
    const { id } = state.server;
    const waitUntil = clock.now() + MAX_UNLOAD_WAIT_MS;
    do {
      await sleep(UNLOAD_MS);
    } while (
      (replicaTracker.loadAt(id).models.get(model) ?? 0) > 0 &&
      clock.now() < waitUntil && engineController.holdsLease &&
      engineController.get(id) === state
    );
  }

  async #loadModel(
    state: EngineState,
    model: string,
    engine: EngineSpec,
  ): Promise<void> {
    const { engineController, clock } = this.#options;
    if (state.models.has(model) || !fitsModel(model, state, engine)) return;
    const outcome = await engineController.orderWhenIdle(state, {
      operation: "load",
      model,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await engineController.resync(state);
      return;
    }
    const isLoaded = await engineController.awaitEffect(
      state,
      () => state.models.has(model),
    );
    if (isLoaded) state.loadedAt.set(model, clock.now());
  }
}

/** Fields of a move's log line; what it is worth in replica seconds. */
function describeMove({ worth, ...move }: PlacementMove) {
  const round = (value: number) => Math.round(value * 100) / 100;
  return {
    ...move,
    earns: worth && round(worth.earns),
    displaces: worth && round(worth.displaces),
    price: worth && round(worth.price),
  };
}
