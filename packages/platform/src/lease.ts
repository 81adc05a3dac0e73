import type { Clock } from "@banyanspool/types";
import type { TableStore } from "./platform.ts";

/** Options of {@link Lease.create}. */
export interface LeaseOptions {
  /** Table that holds the lease's row. */
  readonly table: TableStore;
  /** Row key. */
  readonly key: string;
  /** Name of this process in the row: instance and incarnation. */
  readonly holder: string;
  /** Time for which the lease is held after a renewal, in ms. */
  readonly durationMs: number;
  /**
   * Time for which this process must find another holder's row unchanged before
   * it takes the lease over, in ms; twice the duration by default.
   */
  readonly takeoverMs?: number;
  /** Clock by which the holder counts the lease's duration. */
  readonly clock: Clock;
  /**
   * Clock by which this process counts the take-over time while another holds
   * the lease; it must not run fast. `clock` by default.
   */
  readonly rivalClock?: Clock;
}

/** Value of a row's `holder` after its lease was released. */
const RELEASED = "";

interface LeaseRow {
  readonly holder: string;
  readonly fencingToken: number;
  readonly renewal: number;
}

/**
 * A lease in a table row, with a fencing token. Clocks of different processes
 * are never compared: the holder counts the duration from before it sent the
 * renewal, and another process takes over only after it has itself seen the row
 * unchanged for the take-over time.
 */
export class Lease {
  readonly #options: LeaseOptions;
  #heldSince: number | undefined;
  #fencingToken = 0;
  #term = 0;
  /** Number of releases; a renewal that began before one doesn't count. */
  #releases = 0;
  /**
   * The row as this process last wrote it; undefined while a write is in
   * flight, after a failed one, and where the service returned no version.
   */
  #written: { row: LeaseRow; version: number } | undefined;
  #observedVersion = -1;
  #observedAt = 0;

  private constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** Creates a lease that is not yet held. */
  static create(options: LeaseOptions): Lease {
    return new Lease(options);
  }

  /** Whether this process holds the lease now, by its own clock. */
  get held(): boolean {
    if (this.#heldSince === undefined) return false;
    const age = this.#options.clock.now() - this.#heldSince;
    return age < this.#options.durationMs;
  }

  /**
   * Fencing token of the last time that this process held the lease; 0 before
   * the first. It rises with each change of holder.
   */
  get fencingToken(): number {
    return this.#fencingToken;
  }

  /**
   * Number of times that this process has acquired the lease or regained it
   * after a lapse; 0 before the first. Within one term no other process held it.
   */
  get term(): number {
    return this.#term;
  }

  /** Renews or acquires the lease. Returns whether it is held. */
  async renew(): Promise<boolean> {
    if (this.held && this.#written) return await this.#renewWritten();
    const { table, key, holder, clock, durationMs } = this.#options;
    const takeoverMs = this.#options.takeoverMs ?? durationMs * 2;
    const requestedAt = clock.now();
    const releases = this.#releases;
    const read = await table.get(key);
    if (!read.ok) return this.held;
    const row = read.value;
    const current = row && JSON.parse(row.value) as LeaseRow;
    if (row && current?.holder !== holder) {
      this.#heldSince = undefined;
      // After a release the former holder no longer uses the lease, so the
      // wait is shorter by the lease's duration.
      const waitMs = current?.holder === RELEASED
        ? takeoverMs - durationMs
        : takeoverMs;
      if (!this.#isTakeoverDue(row.version, waitMs)) return false;
    }
    const fencingToken = current?.holder === holder
      ? current.fencingToken
      : (current?.fencingToken ?? 0) + 1;
    const next: LeaseRow = {
      holder,
      fencingToken,
      renewal: (current?.renewal ?? 0) + 1,
    };
    return await this.#write(next, {
      version: row?.version ?? 0,
      requestedAt,
      releases,
    });
  }

  /**
   * Renews without reading the row first; fails if another process wrote it.
   */
  async #renewWritten(): Promise<boolean> {
    const { row, version } = this.#written!;
    const requestedAt = this.#options.clock.now();
    const next = { ...row, renewal: row.renewal + 1 };
    const releases = this.#releases;
    return await this.#write(next, { version, requestedAt, releases });
  }

  async #write(
    next: LeaseRow,
    { version, requestedAt, releases }: {
      version: number;
      requestedAt: number;
      releases: number;
    },
  ): Promise<boolean> {
    const { table, key } = this.#options;
    this.#written = undefined;
    const result = await table.commit({
      checks: [{ key, version }],
      puts: [{ key, value: JSON.stringify(next) }],
    });
    // The write may have taken effect although its response was lost:
    // `#written` stays undefined, so the next renewal reads the row first.
    if (!result.ok || releases !== this.#releases) return this.held;
    if (result.value.kind === "conflict") {
      this.#heldSince = undefined;
      return false;
    }
    if (!this.held) this.#term += 1;
    this.#heldSince = requestedAt;
    this.#fencingToken = next.fencingToken;
    if (result.value.version !== undefined) {
      this.#written = { row: next, version: result.value.version };
    }
    return this.held;
  }

  /**
   * Releases the lease if the row names this process, also after the lease has
   * lapsed, so that others need not wait for the take-over time. The fencing
   * token stays in the row. Returns false if the row could not be read or
   * written, or has changed meanwhile, so that the release has to be repeated.
   */
  async release(): Promise<boolean> {
    if (this.#fencingToken === 0) return true;
    this.#releases += 1;
    this.#heldSince = undefined;
    this.#written = undefined;
    const { table, key } = this.#options;
    const read = await table.get(key);
    if (!read.ok) return false;
    if (!read.value) return true;
    const current = JSON.parse(read.value.value) as LeaseRow;
    if (current.holder !== this.#options.holder) return true;
    const result = await table.commit({
      checks: [{ key, version: read.value.version }],
      puts: [{ key, value: JSON.stringify({ ...current, holder: RELEASED }) }],
    });
    return result.ok && result.value.kind !== "conflict";
  }

  #isTakeoverDue(version: number, afterMs: number): boolean {
    const now = (this.#options.rivalClock ?? this.#options.clock).now();
    if (version !== this.#observedVersion) {
      this.#observedVersion = version;
      this.#observedAt = now;
      return false;
    }
    return now - this.#observedAt >= afterMs;
  }
}
