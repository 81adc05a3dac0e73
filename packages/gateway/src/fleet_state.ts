import type { Clock, FleetConfiguration } from "@banyanspool/types";
import { RouteTable } from "@banyanspool/routing";
import { ChangeSignal } from "./change_signal.ts";

/** The active configuration with its route table. */
export interface ActiveConfiguration {
  readonly configuration: FleetConfiguration;
  /** Routes of the configuration. */
  readonly routes: RouteTable;
  /** Where it was read. */
  readonly source: ConfigurationSource;
}

/** Where a configuration was read. */
export interface ConfigurationSource {
  /** Epoch of the store. */
  readonly epoch: number;
  /** Text that was decoded. */
  readonly text: string;
}

/** Options of {@link FleetState.create}. */
export interface FleetStateOptions {
  /** Time source. */
  readonly clock: Clock;
}

/**
 * Time after its first configuration in which a gateway waits for one that is as
 * new as the others', in ms. The store may have lost it for good.
 */
const CATCH_UP_MS = 5000;

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
  readonly #clock: Clock;
  #activeConfiguration: ActiveConfiguration | undefined;
  #firstAcceptedAt = Infinity;
  #newestPeerVersion = 0;
  #hasCaughtUp = false;

  private constructor({ clock }: FleetStateOptions) {
    this.#clock = clock;
  }

  /** Creates the state of a new process, without a configuration. */
  static create(options: FleetStateOptions): FleetState {
    return new FleetState(options);
  }

  /**
   * The newest accepted configuration; undefined before the first one, and while
   * a gateway that has just started only has an older one than others.
   */
  get activeConfiguration(): ActiveConfiguration | undefined {
    return this.#isCatchingUp() ? undefined : this.#activeConfiguration;
  }

  /** Records the version of another gateway's configuration. */
  recordPeerVersion(version: number): void {
    this.#newestPeerVersion = Math.max(this.#newestPeerVersion, version);
    this.#recordCaughtUp();
  }

  /** Version of the active configuration; 0 if there is none. */
  get version(): number {
    return this.#activeConfiguration?.configuration.version ?? 0;
  }

  /**
   * Activates a configuration; returns false if it isn't newer. A version that
   * was lost in a restore may be given to another configuration afterwards.
   */
  accept(
    configuration: FleetConfiguration,
    source: ConfigurationSource,
  ): boolean {
    const before = this.#activeConfiguration;
    const isReplaced = before !== undefined &&
      configuration.version === this.version &&
      source.epoch > before.source.epoch && source.text !== before.source.text;
    if (configuration.version <= this.version && !isReplaced) return false;
    this.#activeConfiguration = {
      configuration,
      source,
      routes: RouteTable.create(configuration.routes),
    };
    const now = this.#clock.now();
    this.#firstAcceptedAt = Math.min(this.#firstAcceptedAt, now);
    this.#recordCaughtUp();
    this.changed.notify();
    return true;
  }

  #recordCaughtUp(): void {
    if (this.#newestPeerVersion === 0) return;
    this.#hasCaughtUp ||= this.version >= this.#newestPeerVersion;
  }

  #isCatchingUp(): boolean {
    if (this.#hasCaughtUp || this.version >= this.#newestPeerVersion) {
      return false;
    }
    return this.#clock.now() - this.#firstAcceptedAt < CATCH_UP_MS;
  }
}
