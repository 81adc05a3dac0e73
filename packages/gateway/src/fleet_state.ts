import type { FleetConfiguration } from "@banyanspool/types";
import { RouteTable } from "@banyanspool/routing";
import { ChangeSignal } from "./change_signal.ts";

/** The active configuration with its route table. */
export interface ActiveConfiguration {
  readonly configuration: FleetConfiguration;
  /** Routes of the configuration. */
  readonly routes: RouteTable;
}

/**
 * State shared by the gateway's tasks: the active configuration, the signal of
 * changes, and whether the gateway is stopping.
 */
export class FleetState {
  /** Notified when replicas, their models or the configuration change. */
  readonly changed: ChangeSignal = ChangeSignal.create();
  /** True once the replica list has been read. */
  hasReplicaList = false;
  /** True once a graceful shutdown has begun. */
  isStopping = false;
  #activeConfiguration: ActiveConfiguration | undefined;

  private constructor() {}

  /** Creates the state of a new process, without a configuration. */
  static create(): FleetState {
    return new FleetState();
  }

  /** The newest accepted configuration; undefined before the first one. */
  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#activeConfiguration;
  }

  /** Version of the active configuration; 0 if there is none. */
  get version(): number {
    return this.#activeConfiguration?.configuration.version ?? 0;
  }

  /** Activates a configuration; returns false if its version is not newer. */
  accept(configuration: FleetConfiguration): boolean {
    if (configuration.version <= this.version) return false;
    this.#activeConfiguration = {
      configuration,
      routes: RouteTable.create(configuration.routes),
    };
    this.changed.notify();
    return true;
  }
}
