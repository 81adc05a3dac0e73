import type { EventLog } from "@banyanspool/logger";
import {
  type AdapterHost,
  fitsAdapter,
  planAdapterLoad,
} from "@banyanspool/placement";
import type { ReplicaTracker } from "@banyanspool/routing";
import type {
  BackendServer,
  Clock,
  EngineSpec,
  Sleep,
} from "@banyanspool/types";
import type { EngineController } from "./engine_controller.ts";
import type { EngineState } from "./engine_state.ts";
import type { FleetDemand } from "./placement_models.ts";

/** Options of {@link AdapterScheduler.create}. */
export interface AdapterSchedulerOptions {
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
  /** Whether a model is on its way to or from a replica. */
  readonly hasMoveInProgress: (replica: string) => boolean;
  /** Structured log. */
  readonly log: EventLog;
}

/** Time for entries to stop sending what is about to be unloaded, in ms. */
const WITHDRAW_MS = 40;
/** Time that an adapter needs from order to use, in ms. */
const ADAPTER_LOAD_MS = 12;
/** An adapter stays this long after it was asked for, in ms. */
const ADAPTER_STAY_MS = 300;

/** Loads adapters that requests wait for. */
export class AdapterScheduler {
  readonly #options: AdapterSchedulerOptions;
  readonly #underWay: Set<string> = new Set();
  readonly #lastUsed: Map<string, number> = new Map();

  private constructor(options: AdapterSchedulerOptions) {
    this.#options = options;
  }

  /** Creates a mover without loads under way. */
  static create(options: AdapterSchedulerOptions): AdapterScheduler {
    return new AdapterScheduler(options);
  }

  /** Forgets loads under way, as another process may have given orders. */
  clear(): void {
    this.#underWay.clear();
  }

  /** Plans and starts the next loads of one service. */
  plan(engine: EngineSpec, servers: readonly BackendServer[]): void {
    const { engineController: desk, clock, hasMoveInProgress: isMoving } =
      this.#options;
    const demand = this.#options.demand();
    for (const [name, { waiting }] of demand) {
      if (!name.includes("/") || waiting === 0) continue;
      if (this.#underWay.has(name)) continue;
      const [model = ""] = name.split("/");
      if (!engine.models.has(model)) continue;
      const hosts = servers.flatMap((server) => {
        const state = desk.get(server.id);
        if (!state?.isSynced || server.leaving) return [];
        if (!state.models.has(model) || state.unloading.has(model)) return [];
        if (state.isBusy || isMoving(server.id)) return [];
        return [{ state, host: this.#describeHost(state, { engine, demand }) }];
      });
      this.#lastUsed.set(name, clock.now());
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
    const { engineController: desk, log } = this.#options;
    this.#underWay.add(name);
    state.plannedAdapters.add(name);
    if (evict !== undefined) {
      state.unloading.add(evict);
      desk.notifyAvailableModelsChange();
    }
    log.write("adapter load", {
      adapter: name,
      replica: state.server.id,
      evict,
    });
    desk.enqueue(state, async () => {
      try {
        await this.#loadAdapter(state, { name, evict }, engine);
      } finally {
        this.#underWay.delete(name);
        state.plannedAdapters.delete(name);
        if (evict !== undefined) state.unloading.delete(evict);
      }
    });
  }

  async #loadAdapter(
    state: EngineState,
    { name, evict }: { name: string; evict?: string },
    engine: EngineSpec,
  ): Promise<void> {
    const { engineController: desk, sleep } = this.#options;
    if (evict !== undefined && state.adapters.has(evict)) {
      if (!await this.#unloadAdapter(state, evict)) return;
    }
    const [model = "", adapter = ""] = name.split("/");
    if (!state.models.has(model) || !fitsAdapter(model, state, engine)) return;
    const outcome = await desk.order(state, {
      operation: "load",
      model,
      adapter,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await desk.resync(state);
      return;
    }
    await sleep(ADAPTER_LOAD_MS);
    state.adapters.add(name);
    desk.notifyAvailableModelsChange();
  }

  async #unloadAdapter(state: EngineState, name: string): Promise<boolean> {
    const { engineController: desk, sleep } = this.#options;
    await sleep(WITHDRAW_MS);
    const [model = "", adapter = ""] = name.split("/");
    const outcome = await desk.order(state, {
      operation: "unload",
      model,
      adapter,
    });
    if (outcome === "done") {
      state.adapters.delete(name);
      return true;
    }
    await desk.resync(state);
    return outcome === "accepted" && !state.adapters.has(name);
  }

  #describeHost(
    state: EngineState,
    { engine, demand }: {
      engine: EngineSpec;
      demand: ReadonlyMap<string, FleetDemand>;
    },
  ): AdapterHost {
    const { replicaTracker: board, clock } = this.#options;
    const { adapters } = board.loadAt(state.server.id);
    const now = clock.now();
    for (const adapter of adapters) this.#lastUsed.set(adapter, now);
    const inUse = new Set([...adapters, ...state.plannedAdapters]);
    for (const name of state.adapters) {
      const isWanted = (demand.get(name)?.waiting ?? 0) > 0;
      const usedAt = this.#lastUsed.get(name) ?? -Infinity;
      if (isWanted || now - usedAt < ADAPTER_STAY_MS) inUse.add(name);
    }
    const staying = [...state.adapters]
      .filter((name) => !state.unloading.has(name));
    return {
      replica: state.server.id,
      adapters: [...new Set([...staying, ...state.plannedAdapters])],
      inUse,
      lastUsed: this.#lastUsed,
      adapterSlots: engine.adapterSlots,
      queuedOrders: state.queuedTasks,
    };
  }
}
