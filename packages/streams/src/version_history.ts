import type { BackendServer, Clock } from "@banyanspool/types";

/** Options of {@link VersionHistory.create}. */
export interface VersionHistoryOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Whether no replica can have served before this process started. */
  readonly isFirstStart: boolean;
  /** Time for which a stream may be taken up, in ms. */
  readonly windowMs: number;
}

/** The software versions that the replicas of each service ran lately. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  /** When each version was last listed, by service. */
  readonly #lastListedAt: Map<string, Map<string, number>> = new Map();
  #observedSince: number | undefined;

  private constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  /** Creates a history without observations. */
  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Records the replicas that are listed now. */
  update(servers: Iterable<BackendServer>): void {
    const { clock, isFirstStart, windowMs } = this.#options;
    const now = clock.now();
    this.#observedSince ??= isFirstStart ? -Infinity : now;
    for (const { service, softwareVersion } of servers) {
      const versions = this.#lastListedAt.get(service) ?? new Map();
      this.#lastListedAt.set(service, versions.set(softwareVersion, now));
    }
    for (const [service, versions] of this.#lastListedAt) {
      for (const [version, at] of versions) {
        if (now - at > windowMs) versions.delete(version);
      }
      if (versions.size === 0) this.#lastListedAt.delete(service);
    }
  }

  /**
   * The only version that can have begun a stream that is taken up now;
   * undefined if there are several, or if this process may have missed one.
   */
  onlyVersion(service: string): string | undefined {
    const { clock, windowMs } = this.#options;
    const observedSince = this.#observedSince ?? Infinity;
    if (clock.now() - observedSince < windowMs) return undefined;
    const versions = this.#lastListedAt.get(service);
    if (versions?.size !== 1) return undefined;
    return versions.keys().next().value;
  }
}
