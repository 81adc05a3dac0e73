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
import { mayServeNeed } from "./serve_need.ts";
import type { StreamNeed } from "./waiting_request_counts.ts";

/** Options of {@link AdapterScheduler.create}. */
export interface AdapterSchedulerOptions {
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
  /** Whether a model is being loaded to or unloaded from a replica. */
  readonly hasMoveInProgress: (replica: string) => boolean;
  /** Whether a replica limits its requests, of which orders are some. */
  readonly isLimited: (server: BackendServer) => boolean;
  /** Structured log. */
  readonly log: EventLog;
}

/** Time for gateways to stop routing to an adapter about to be unloaded, in ms. */
const UNLOAD_NOTICE_MS = 40;
/** Time from an adapter's load order until it accepts requests, in ms. */
const ADAPTER_LOAD_MS = 12;
/** Time after its last request during which an adapter isn't evicted, in ms. */
const MIN_IDLE_MS = 300;

/** Loads adapters that requests are waiting for, evicting idle ones. */
export class AdapterScheduler {
  readonly #options: AdapterSchedulerOptions;
  readonly #pendingLoads: Set<string> = new Set();
  readonly #lastUsed: Map<string, number> = new Map();

  private constructor(options: AdapterSchedulerOptions) {
    this.#options = options;
  }

  /** Creates a scheduler without adapter loads in progress. */
  static create(options: AdapterSchedulerOptions): AdapterScheduler {
    return new AdapterScheduler(options);
  }

  /** Discards pending loads, as another process may have sent orders meanwhile. */
  clear(): void {
    this.#pendingLoads.clear();
  }

  /** Plans and starts the next loads of one service with the given replicas. */
  plan(engine: EngineSpec, servers: readonly BackendServer[]): void {
    const demand = this.#options.demand();
    const { replicaTracker } = this.#options;
    for (const need of this.#options.streamNeeds()) {
      const able = servers.filter((server) =>
        mayServeNeed(server, { need, replicaTracker })
      );
      this.#planLoad(need.name, { engine, servers: able, demand });
    }
    for (const [name, { waiting }] of demand) {
      if (waiting > 0) this.#planLoad(name, { engine, servers, demand });
    }
  }

  /** Loads an adapter at one of these replicas, unless one of them has it. */
  #planLoad(
    name: string,
    { engine, servers, demand }: {
      engine: EngineSpec;
      servers: readonly BackendServer[];
      demand: ReadonlyMap<string, FleetDemand>;
    },
  ): void {
    const { engineController, clock, hasMoveInProgress, isLimited } =
      this.#options;
    if (!name.includes("/") || this.#pendingLoads.has(name)) return;
    const [model = ""] = name.split("/");
    if (!engine.models.has(model)) return;
    const possibleHosts = servers.flatMap((server) => {
      const state = engineController.get(server.id);
      if (!state?.isSynced || server.draining) return [];
      if (!state.models.has(model) || state.unloading.has(model)) return [];
      if (state.isBusy || hasMoveInProgress(server.id)) return [];
      if (state.refusedUntil > clock.now()) return [];
      return [{ state, host: this.#describeHost(state, { engine, demand }) }];
    });
    const unlimited = possibleHosts.filter(({ state }) =>
      !isLimited(state.server)
    );
    const hosts = unlimited.length > 0 ? unlimited : possibleHosts;
    this.#lastUsed.set(name, clock.now());
    if (hosts.some(({ state }) => state.adapters.has(name))) return;
    const loadPlan = planAdapterLoad(hosts.map(({ host }) => host));
    if (!loadPlan) return;
    const { state } = hosts.find(({ host }) =>
      host.replica === loadPlan.replica
    )!;
    this.#startAdapterLoad(state, { name, evict: loadPlan.evict }, engine);
  }

  #startAdapterLoad(
    state: EngineState,
    { name, evict }: { name: string; evict?: string },
    engine: EngineSpec,
  ): void {
    const { engineController, log } = this.#options;
    this.#pendingLoads.add(name);
    state.plannedAdapters.add(name);
    if (evict !== undefined) {
      state.unloading.add(evict);
      engineController.notifyAvailableModelsChange();
    }
    log.write("adapter load", {
      adapter: name,
      replica: state.server.id,
      evict,
    });
    engineController.enqueue(state, async () => {
      try {
        await this.#loadAdapter(state, { name, evict }, engine);
      } finally {
        this.#pendingLoads.delete(name);
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
    const { engineController, sleep } = this.#options;
    if (evict !== undefined && state.adapters.has(evict)) {
      if (!await this.#unloadAdapter(state, evict)) return;
    }
    const [model = "", adapter = ""] = name.split("/");
    if (!state.models.has(model) || !fitsAdapter(model, state, engine)) return;
    const outcome = await engineController.order(state, {
      operation: "load",
      model,
      adapter,
    });
    if (outcome !== "accepted" && outcome !== "done") {
      await engineController.resync(state);
      return;
    }
    await sleep(ADAPTER_LOAD_MS);
    state.adapters.add(name);
    engineController.notifyAvailableModelsChange();
  }

  async #unloadAdapter(state: EngineState, name: string): Promise<boolean> {
    const { engineController, sleep } = this.#options;
    await sleep(UNLOAD_NOTICE_MS);
    const [model = "", adapter = ""] = name.split("/");
    const outcome = await engineController.order(state, {
      operation: "unload",
      model,
      adapter,
    });
    if (outcome === "done") {
      state.adapters.delete(name);
      return true;
    }
    await engineController.resync(state);
    return outcome === "accepted" && !state.adapters.has(name);
  }

  #describeHost(
    state: EngineState,
    { engine, demand }: {
      engine: EngineSpec;
      demand: ReadonlyMap<string, FleetDemand>;
    },
  ): AdapterHost {
    const { replicaTracker, clock } = this.#options;
    const { adapters } = replicaTracker.loadAt(state.server.id);
    const now = clock.now();
    for (const adapter of adapters) this.#lastUsed.set(adapter, now);
    const inUse = new Set([...adapters, ...state.plannedAdapters]);
    for (const name of state.adapters) {
      const hasWaitingRequests = (demand.get(name)?.waiting ?? 0) > 0;
      const usedAt = this.#lastUsed.get(name) ?? -Infinity;
      if (hasWaitingRequests || now - usedAt < MIN_IDLE_MS) inUse.add(name);
    }
    const remaining = [...state.adapters]
      .filter((name) => !state.unloading.has(name));
    return {
      replica: state.server.id,
      adapters: [...new Set([...remaining, ...state.plannedAdapters])],
      inUse,
      lastUsed: this.#lastUsed,
      adapterSlots: engine.adapterSlots,
      queuedTasks: state.queuedTasks,
    };
  }
}
