import type { Clock, Random } from "@banyanspool/types";
import { ChangeSignal } from "./change_signal.ts";
import { SharedReadSchedule } from "./shared_read_schedule.ts";

/** Longest time between two evaluations of a wait, in ms. */
const MAX_SIGNAL_WAIT_MS = 60_000;

/** What one gateway tells the others about its configuration. */
export interface ConfigurationReport {
  /** Version of the active configuration; 0 without one. */
  readonly version: number;
  /** Epoch of the store in which the gateway last read the configuration. */
  readonly epoch: number;
  /** Time since it began that read, in ms; undefined before the first one. */
  readonly ageMs: number | undefined;
}

/** Options of {@link ConfigurationFreshness.create}. */
export interface ConfigurationFreshnessOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Number of live gateways, including this one. */
  readonly liveCount: () => number;
  /** Version of this gateway's active configuration; 0 without one. */
  readonly version: () => number;
}

/**
 * What this gateway knows of the age of its configuration, from its own reads and
 * from the other gateways' reports. A call that waits for changes says nothing
 * before it ends, so some gateway reads the configuration every second, whatever
 * the number of gateways, and tells the others.
 */
export class ConfigurationFreshness {
  readonly #options: ConfigurationFreshnessOptions;
  readonly #schedule: SharedReadSchedule;
  readonly #outdated: ChangeSignal = ChangeSignal.create();
  /** Epoch of the last own read. */
  #epoch = 0;
  /** Newest epoch and version that were heard of since the last own read. */
  #newestEpoch = 0;
  #newestVersion = 0;
  #heardAt = -Infinity;

  private constructor(options: ConfigurationFreshnessOptions) {
    this.#options = options;
    this.#schedule = SharedReadSchedule.create(options);
  }

  /** Creates the state of a gateway that has read no configuration yet. */
  static create(
    options: ConfigurationFreshnessOptions,
  ): ConfigurationFreshness {
    return new ConfigurationFreshness(options);
  }

  /** What the other gateways are told. */
  get report(): ConfigurationReport {
    return {
      version: this.#options.version(),
      epoch: this.#epoch,
      ageMs: this.#schedule.ownAgeMs,
    };
  }

  /** Time until this gateway should read the configuration again, in ms. */
  get readDueInMs(): number {
    return this.#schedule.dueInMs;
  }

  /**
   * Whether another gateway has a newer configuration, or the store was restored
   * since this gateway's last read.
   */
  get isOutdated(): boolean {
    return this.#newestEpoch > this.#epoch ||
      this.#newestVersion > this.#options.version();
  }

  /** Records an own read that began at the given time. */
  recordRead(startedAt: number, epoch: number): void {
    this.#schedule.recordOwnRead(startedAt);
    this.#epoch = epoch;
    // The store may have lost what others have; their next reports tell.
    if (startedAt < this.#heardAt) return;
    this.#newestEpoch = epoch;
    this.#newestVersion = 0;
  }

  /** Records the epoch of an answer to any call of this gateway. */
  recordEpoch(epoch: number): void {
    this.#recordHeard(epoch, 0);
  }

  /** Records the report of another gateway. */
  recordPeerReport({ version, epoch, ageMs }: ConfigurationReport): void {
    this.#recordPeerRead({ version, epoch, ageMs });
    this.#recordHeard(epoch, version);
  }

  /** Waits until a report or an answer shows that the configuration is outdated. */
  async waitUntilOutdated(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.isOutdated) {
      await this.#outdated.wait(MAX_SIGNAL_WAIT_MS, signal);
    }
  }

  #recordPeerRead({ version, epoch, ageMs }: ConfigurationReport): void {
    const own = this.#options.version();
    // What was read before a restore, or before a change, confirms nothing.
    if (ageMs === undefined || epoch < this.#epoch || version < own) return;
    this.#schedule.recordPeerRead(ageMs);
    if (version === own && epoch === this.#epoch) {
      this.#schedule.recordEqualRead(ageMs);
    } else {
      this.#schedule.recordDifferentRead(ageMs);
    }
  }

  #recordHeard(epoch: number, version: number): void {
    const { clock } = this.#options;
    if (epoch <= this.#epoch && version <= this.#options.version()) return;
    this.#heardAt = clock.now();
    this.#newestEpoch = Math.max(this.#newestEpoch, epoch);
    this.#newestVersion = Math.max(this.#newestVersion, version);
    this.#outdated.notify();
  }
}
