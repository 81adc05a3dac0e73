import type { EventLog } from "@banyanspool/logger";
import {
  assemblePlacementPlan,
  fitsModel,
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

/** Options of {@link ModelScheduler.create}. */
export interface ModelSchedulerOptions {
  /** Gives the orders. */
  readonly engineController: EngineController;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Work at replicas. */
  readonly replicaTracker: ReplicaTracker;
  /** Demand by `model` or `model/adapter`. */
  readonly demand: () => ReadonlyMap<string, FleetDemand>;
  /** Structured log. */
  readonly log: EventLog;
}

/** Time for the reports of listed replicas before plans go without them, in ms. */
const FIRST_REPORTS_MS = 1500;
/** Time for entries to stop sending what is about to be unloaded, in ms. */
const WITHDRAW_MS = 40;
/** Moves under way at the same time. */
const MAX_MOVES = 6;
/** Share of a replica's time above which a further copy is looked for. */
const BUSY_SHARE = 0.25;
/** Least relief that is worth a load. */
const MIN_GAIN = 0.05;
/** A model stays at least this long after its load, in ms. */
const MODEL_STAY_MS = 6000;

/** Moves models to where the demand is. */
export class ModelScheduler {
  readonly #options: ModelSchedulerOptions;
  readonly #moves: Map<string, { move: PlacementMove; state: EngineState }> =
    new Map();
  readonly #allowance: ModelLoadLimiter;

  private constructor(options: ModelSchedulerOptions) {
    this.#options = options;
    this.#allowance = ModelLoadLimiter.create({ clock: options.clock });
  }

  /** Creates a mover without moves under way. */
  static create(options: ModelSchedulerOptions): ModelScheduler {
    return new ModelScheduler(options);
  }

  /** Whether a model is on its way to or from a replica. */
  hasMoveInProgress(replica: string): boolean {
    const current = this.#moves.get(replica);
    return current !== undefined &&
      current.state === this.#options.engineController.get(replica);
  }

  /** Plans and starts the next moves of one service. */
  plan(engine: EngineSpec, servers: readonly BackendServer[]): void {
    if (this.#isReportMissing(servers)) return;
    const { engineController: desk } = this.#options;
    const reports = servers.flatMap((server) => {
      const state = desk.get(server.id);
      return state?.isSynced ? [buildReplicaReport(state, engine)] : [];
    });
    const ids = new Set(servers.map(({ id }) => id));
    const underWay = [...this.#moves.values()]
      .map(({ move }) => move)
      .filter(({ replica }) =>
        ids.has(replica) && this.hasMoveInProgress(replica)
      );
    const isIdle = ({ replica }: ReplicaReport) =>
      !this.hasMoveInProgress(replica) && !desk.get(replica)!.isBusy;
    const idle = reports.filter(isIdle);
    const plan = assemblePlacementPlan({
      models: buildPlacementModels(engine, {
        demand: this.#options.demand(),
        reports,
        adaptersInUse: this.#listAdaptersInUse(reports),
      }),
      replicas: [
        ...idle,
        ...reports.filter((report) => !isIdle(report))
          .map((report) => ({ ...report, memoryMib: 0 })),
      ],
      pendingMoves: underWay,
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
    const { engineController: desk, clock } = this.#options;
    const now = clock.now();
    return servers.some(({ id, leaving }) => {
      const state = desk.get(id);
      if (!state || leaving || state.isSynced) return false;
      return now - state.firstListedAt < FIRST_REPORTS_MS;
    });
  }

  /** Models that were loaded only lately, as `replica model`. */
  #listStaying(reports: readonly ReplicaReport[]): Set<string> {
    const { engineController: desk, clock } = this.#options;
    const now = clock.now();
    const staying = new Set<string>();
    for (const { replica } of reports) {
      const { loadedAt } = desk.get(replica)!;
      for (const [model, at] of loadedAt) {
        if (now - at < MODEL_STAY_MS) staying.add(`${replica} ${model}`);
      }
    }
    return staying;
  }

  #listAdaptersInUse(reports: readonly ReplicaReport[]): Set<string> {
    const { replicaTracker: board } = this.#options;
    return new Set(
      reports.flatMap(({ replica }) => [...board.loadAt(replica).adapters]),
    );
  }

  /** Requests in flight by `replica model`. */
  #countUse(reports: readonly ReplicaReport[]): Map<string, number> {
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
    const { engineController: desk, log } = this.#options;
    const state = desk.get(move.replica);
    if (!state || state.queuedTasks > 0 || state.isBusy) return;
    if (
      !state.localCopies.has(move.load) &&
      !this.#allowance.tryAcquire(engine.loadsPerS)
    ) return;
    this.#moves.set(move.replica, { move, state });
    log.write("model move", { ...move });
    desk.enqueue(state, async () => {
      try {
        await this.#carryOut(state, move, engine);
      } finally {
        if (this.#moves.get(move.replica)?.move === move) {
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
    const { engineController: desk, clock } = this.#options;
    for (const model of move.unload) {
      if (!state.models.has(model)) continue;
      if (!await this.#unloadModel(state, model)) return;
    }
    if (state.models.has(move.load) || !fitsModel(move.load, state, engine)) {
      return;
    }
    const outcome = await desk.order(state, {
      operation: "load",
      model: move.load,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await desk.resync(state);
      return;
    }
    await desk.awaitEffect(state, () => state.models.has(move.load));
    state.loadedAt.set(move.load, clock.now());
  }

  async #unloadModel(state: EngineState, model: string): Promise<boolean> {
    const { engineController: desk, sleep } = this.#options;
    const names = listAvailableNames(state)
      .filter((name) => name === model || name.startsWith(`${model}/`));
    for (const name of names) state.unloading.add(name);
    desk.notifyAvailableModelsChange();
    await sleep(WITHDRAW_MS);
    try {
      const outcome = await desk.order(state, { operation: "unload", model });
      if (outcome !== "accepted" && outcome !== "done") {
        await desk.resync(state);
        return false;
      }
      return await desk.awaitEffect(state, () => !state.models.has(model));
    } finally {
      for (const name of names) state.unloading.delete(name);
      desk.notifyAvailableModelsChange();
    }
  }
}
