import type { EventLog } from "@banyanspool/logger";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer, Clock, Sleep } from "@banyanspool/types";
import { AdapterScheduler } from "./adapter_scheduler.ts";
import type { EngineController } from "./engine_controller.ts";
import type { FleetState } from "./fleet_state.ts";
import { ModelScheduler } from "./model_scheduler.ts";
import type { FleetDemand } from "./placement_models.ts";

/** Options of {@link PlacementController.create}. */
export interface PlacementControllerOptions {
  /** Gives the orders while the lease of the duty is held. */
  readonly engineController: EngineController;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Configuration and changes. */
  readonly fleet: FleetState;
  /** Replicas and their work. */
  readonly replicaTracker: ReplicaTracker;
  /** Demand by `model` or `model/adapter`. */
  readonly demand: () => ReadonlyMap<string, FleetDemand>;
  /** Structured log. */
  readonly log: EventLog;
}

/** How often plans are made without being woken, in ms. */
const ROUND_MS = 150;

/** Places models and adapters while this process holds the lease. */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #models: ModelScheduler;
  readonly #adapters: AdapterScheduler;

  private constructor(options: PlacementControllerOptions) {
    this.#options = options;
    this.#models = ModelScheduler.create(options);
    this.#adapters = AdapterScheduler.create({
      ...options,
      hasMoveInProgress: (replica) => this.#models.hasMoveInProgress(replica),
    });
  }

  /** Creates the duty; it does nothing without the lease. */
  static create(options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  /** Plans and gives orders until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { engineController: desk, fleet, log } = this.#options;
    let wasHolder = false;
    while (!signal.aborted) {
      if (desk.holdsLease !== wasHolder) {
        wasHolder = desk.holdsLease;
        log.write(wasHolder ? "placement lease held" : "placement lease lost");
        desk.clear();
        this.#adapters.clear();
      }
      if (wasHolder) this.#planRound();
      await fleet.changed.wait(ROUND_MS, signal);
    }
  }

  #planRound(): void {
    const { engineController: desk, fleet, replicaTracker: board } =
      this.#options;
    const { activeConfiguration: inForce } = fleet;
    if (!inForce || !fleet.hasReplicaList) return;
    const { services } = inForce.configuration;
    const engines = new Map<string, BackendServer>();
    for (const [id, server] of board.servers) {
      if (services.get(server.service)?.engine) engines.set(id, server);
    }
    desk.follow(engines);
    for (const [name, { engine }] of services) {
      if (!engine) continue;
      const servers = [...engines.values()]
        .filter(({ service }) => service === name);
      this.#models.plan(engine, servers);
      this.#adapters.plan(engine, servers);
    }
  }
}
