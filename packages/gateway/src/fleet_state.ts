import type { FleetConfiguration } from "@banyanspool/types";
import { RouteTable } from "@banyanspool/routing";
import { ChangeSignal } from "./change_signal.ts";

/** The configuration in force, with what is derived from it. */
export interface ActiveConfiguration {
  /** The configuration. */
  readonly configuration: FleetConfiguration;
  /** Its routes. */
  readonly routes: RouteTable;
}

/** What the gateway's tasks share: configuration, changes and stopping. */
export class FleetState {
  /** Notified when replicas, their models or the configuration change. */
  readonly changed: ChangeSignal = ChangeSignal.create();
  /** True once the list of replicas was read. */
  hasReplicaList = false;
  /** True once a planned stop has begun. */
  isStopping = false;
  #inForce: ActiveConfiguration | undefined;

  private constructor() {}

  /** Creates the state of a process that knows nothing. */
  static create(): FleetState {
    return new FleetState();
  }

  /** The newest configuration ever seen by this process. */
  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#inForce;
  }

  /** Version in force; 0 before there is one. */
  get version(): number {
    return this.#inForce?.configuration.version ?? 0;
  }

  /** Puts a newer configuration in force; returns whether it is newer. */
  accept(configuration: FleetConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    this.#inForce = {
      configuration,
      routes: RouteTable.create(configuration.routes),
    };
    this.changed.notify();
    return true;
  }
}
