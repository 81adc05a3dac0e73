import type { EventLog } from "@banyanspool/logger";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer, Clock, Sleep } from "@banyanspool/types";
import { AdapterScheduler } from "./adapter_scheduler.ts";
import type { EngineController } from "./engine_controller.ts";
import type { FleetState } from "./fleet_state.ts";
import {
  findModelsHeldOnly,
  listWantedModels,
} from "./evacuation/models_held_only.ts";
import { ModelScheduler } from "./model_scheduler.ts";
import type { FleetDemand } from "./placement_models.ts";
import type { StreamNeed } from "./waiting_request_counts.ts";

/** Options of {@link PlacementController.create}. */
export interface PlacementControllerOptions {
  /** Sends orders to the engines while the placement lease is held. */
  readonly engineController: EngineController;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Active configuration, and the signal that starts a planning round early. */
  readonly fleet: FleetState;
  /** Replicas and the load of each. */
  readonly replicaTracker: ReplicaTracker;
  /** Demand of all gateways by `model` or `model/adapter`. */
  readonly demand: () => ReadonlyMap<string, FleetDemand>;
  /** What cut-off streams wait for at all gateways. */
  readonly streamNeeds: () => readonly StreamNeed[];
  /** Whether a replica limits its requests, of which orders are some. */
  readonly isLimited: (server: BackendServer) => boolean;
  /** Whether nothing may be sent to the replicas of a data centre. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Whether the demand of all gateways is known. */
  readonly hasFleetDemand: () => boolean;
  /** Structured log. */
  readonly log: EventLog;
}

/** Planning interval while no change is signalled, in ms. */
const PLANNING_INTERVAL_MS = 150;
/** Shortest pause between two planning rounds, in ms. */
const MIN_PAUSE_MS = 10;
/** Multiple of a round's own time to pause, so that requests are served too. */
const PAUSE_PER_ROUND = 4;

/** Control loop that places models and adapters while the lease is held. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #modelScheduler: ModelScheduler;
  readonly #adapterScheduler: AdapterScheduler;

  private constructor(options: PlacementControllerOptions) {
    this.#options = options;
    this.#modelScheduler = ModelScheduler.create(options);
    this.#adapterScheduler = AdapterScheduler.create({
      ...options,
      hasMoveInProgress: (replica) =>
        this.#modelScheduler.hasMoveInProgress(replica),
    });
  }

  /** Creates a controller; it sends no orders without the lease. */
  static create(options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  /** Time until each model that is being loaded is expected, in ms. */
  expectedLoads(): Map<string, number> {
    return this.#modelScheduler.expectedLoads();
  }

  /** Runs the control loop until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { engineController, fleet, log, clock, sleep } = this.#options;
    let heldLease = false;
    let term = 0;
    while (!signal.aborted) {
      const isNewTerm = engineController.leaseTerm !== term;
      if (engineController.holdsLease !== heldLease || isNewTerm) {
        heldLease = engineController.holdsLease;
        term = engineController.leaseTerm;
        log.write(heldLease ? "placement lease held" : "placement lease lost");
        engineController.clear();
        this.#adapterScheduler.clear();
      }
      if (heldLease) {
        const startedAt = clock.now();
        this.#planRound();
        const tookMs = clock.now() - startedAt;
        const pauseMs = Math.max(MIN_PAUSE_MS, PAUSE_PER_ROUND * tookMs);
        await sleep(Math.min(PLANNING_INTERVAL_MS, pauseMs), signal)
          .catch(() => {});
      }
      await fleet.changed.wait(PLANNING_INTERVAL_MS, signal);
    }
  }

  #planRound(): void {
    const { engineController, fleet, replicaTracker } = this.#options;
    const { activeConfiguration } = fleet;
    if (!activeConfiguration || !fleet.hasReplicaList) return;
    const { services } = activeConfiguration.configuration;
    const replicas = new Map<string, BackendServer>();
    for (const [id, server] of replicaTracker.servers) {
      if (services.get(server.service)?.engine) replicas.set(id, server);
    }
    engineController.follow(replicas);
    if (!this.#options.hasFleetDemand()) return;
    for (const [name, { engine }] of services) {
      if (!engine) continue;
      const { isEvacuated, demand } = this.#options;
      const listed = [...replicas.values()]
        .filter(({ service }) => service === name);
      const servers = listed
        .filter(({ dataCentre }) => !isEvacuated(dataCentre));
      const wantedModels = listWantedModels(engine.models.keys(), demand());
      const heldOnly = findModelsHeldOnly(wantedModels, {
        servers: listed,
        isEvacuated,
        replicaTracker,
      });
      // An engine accepts no adapter while it loads a model, which takes
      // seconds, so adapters go first.
      this.#adapterScheduler.plan(engine, servers);
      this.#modelScheduler.plan(engine, servers, [...heldOnly.keys()]);
    }
  }
}
