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

/**
 * Time between two confirmations of the list in which a version may have come and
 * gone, in ms; a shorter stay is not expected.
 */
const MAX_UNCONFIRMED_MS = 2000;

/** The software versions that the replicas of each service ran lately. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  /** When each version was last listed, by service. */
  readonly #lastListedAt: Map<string, Map<string, number>> = new Map();
  /** Since when the list has been confirmed without a gap. */
  #observedSince: number;
  #confirmedAt = -Infinity;
  /** Services whose versions from before this process's start are known. */
  readonly #recalled: Set<string> = new Set();
  /** The same, including those of which a version may have been missed since. */
  readonly #everRecalled: Set<string> = new Set();

  private constructor(options: VersionHistoryOptions) {
    this.#options = options;
    this.#observedSince = options.isFirstStart ? -Infinity : Infinity;
  }

  /** Creates a history without observations. */
  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Records the replicas that are listed now. */
  update(servers: Iterable<BackendServer>): void {
    const { clock, windowMs } = this.#options;
    const now = clock.now();
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

  /** Records that the replicas known here were all that were listed then. */
  confirm({ ageMs }: { ageMs: number }): void {
    const at = this.#options.clock.now() - ageMs;
    if (at <= this.#confirmedAt) return;
    const isFirst = this.#confirmedAt === -Infinity;
    const hasGap = !isFirst && at - this.#confirmedAt > MAX_UNCONFIRMED_MS;
    if (hasGap) this.#recalled.clear();
    if (hasGap || this.#observedSince === Infinity) this.#observedSince = at;
    this.#confirmedAt = at;
  }

  /**
   * Adds versions that gateways recorded before this process started: all that
   * can have begun streams of a service until then.
   */
  recall(service: string, recorded: Iterable<string>): void {
    const now = this.#options.clock.now();
    const versions = this.#lastListedAt.get(service) ?? new Map();
    for (const version of recorded) versions.set(version, now);
    this.#lastListedAt.set(service, versions);
    this.#recalled.add(service);
    this.#everRecalled.add(service);
  }

  /**
   * Versions that can have begun a stream that is taken up now, by service,
   * without services whose versions from before this process's start are unknown.
   */
  get versions(): ReadonlyMap<string, readonly string[]> {
    const known = new Map<string, readonly string[]>();
    for (const [service, versions] of this.#lastListedAt) {
      if (!this.#isKnown(service)) continue;
      known.set(service, [...versions.keys()].sort());
    }
    return known;
  }

  /** Whether replicas of some service have been listed with several versions. */
  get hasSeveral(): boolean {
    return [...this.#lastListedAt.values()].some(({ size }) => size > 1);
  }

  #isKnown(service: string): boolean {
    const { clock, windowMs, isFirstStart } = this.#options;
    return isFirstStart || this.#everRecalled.has(service) ||
      clock.now() - this.#observedSince >= windowMs;
  }

  /**
   * The only version that can have begun a stream that is taken up now;
   * undefined if there are several, or if this process may have missed one.
   */
  onlyVersion(service: string): string | undefined {
    const { clock, windowMs } = this.#options;
    const now = clock.now();
    if (now - this.#confirmedAt > MAX_UNCONFIRMED_MS) return undefined;
    const isObserved = now - this.#observedSince >= windowMs;
    if (!isObserved && !this.#recalled.has(service)) return undefined;
    const versions = this.#lastListedAt.get(service);
    if (versions?.size !== 1) return undefined;
    return versions.keys().next().value;
  }
}
