import type { Clock } from "@banyanspool/types";
import type { Row, TableStore } from "./platform.ts";
import { comparePositions, type StorePosition } from "./position.ts";

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
  /**
   * Whether no process can have held the lease before this one was started, so
   * that a missing row has not been lost in a restore; true by default.
   */
  readonly isFirstStart?: boolean;
}

/** Value of a row's `holder` after its lease was released. */
const RELEASED = "";
/** Fencing tokens of each epoch begin above those of the ones before. */
const TOKENS_PER_EPOCH = 1_000_000;

interface LeaseRow {
  readonly holder: string;
  readonly fencingToken: number;
  readonly renewal: number;
  /** Epoch in which the holder wrote the row; 0 if absent. */
  readonly epoch?: number;
}

interface LeaseRead {
  readonly epoch: number;
  readonly row: Row | undefined;
  readonly current: LeaseRow | undefined;
}

/**
 * A lease in a table row, with a fencing token. Clocks of different processes
 * are never compared: the holder counts the duration from before it sent the
 * renewal, and another process takes over only after it has itself seen the row
 * unchanged for the take-over time.
 *
 * When the table was restored from a copy, the row of the last holder may be lost.
 * Until the row has been written in the new epoch, only a process that holds the
 * lease by its own clock goes on; all others wait for the take-over time, even if
 * the copy names them. Tokens of a new epoch are higher than all before.
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
  #firstEpoch: number | undefined;
  #observed: { position: StorePosition; since: number } | undefined;

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
   * the first. It rises with each change of holder and each restore.
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
    const { holder, clock, durationMs } = this.#options;
    const takeoverMs = this.#options.takeoverMs ?? durationMs * 2;
    const requestedAt = clock.now();
    const releases = this.#releases;
    const read = await this.#read();
    if (!read) return this.held;
    const { epoch, row, current } = read;
    const position = { epoch, version: row?.version ?? 0 };
    const mayHideHolder = this.#mayHideHolder(read);
    if (mayHideHolder) {
      const isDue = this.held || this.#isTakeoverDue(position, takeoverMs);
      if (!isDue) return false;
    } else if (current && current.holder !== holder) {
      this.#heldSince = undefined;
      // After a release the former holder no longer uses the lease, so the
      // wait is shorter by the lease's duration.
      const waitMs = current.holder === RELEASED
        ? takeoverMs - durationMs
        : takeoverMs;
      if (!this.#isTakeoverDue(position, waitMs)) return false;
    }
    const isOwnRow = !mayHideHolder && current?.holder === holder;
    const highestToken = Math.max(
      current?.fencingToken ?? 0,
      epoch * TOKENS_PER_EPOCH,
    );
    const next: LeaseRow = {
      holder,
      fencingToken: isOwnRow ? current.fencingToken : highestToken + 1,
      renewal: (current?.renewal ?? 0) + 1,
      epoch,
    };
    return await this.#write(next, {
      version: position.version,
      requestedAt,
      releases,
    });
  }

  /** Reads the row; undefined if the table failed or was restored meanwhile. */
  async #read(): Promise<LeaseRead | undefined> {
    const { table, key } = this.#options;
    // The epoch is known only after the first answer.
    for (let attempt = 0; attempt < 2; attempt += 1) {
      const before = table.epoch();
      const read = await table.get(key);
      if (!read.ok) return undefined;
      const epoch = table.epoch();
      if (epoch !== before) continue;
      this.#firstEpoch ??= epoch;
      const row = read.value;
      return { epoch, row, current: row && JSON.parse(row.value) as LeaseRow };
    }
    return undefined;
  }

  /** Whether the row of another holder may have been lost in a restore. */
  #mayHideHolder({ epoch, current }: LeaseRead): boolean {
    if (current) return (current.epoch ?? 0) < epoch;
    const { isFirstStart = true } = this.#options;
    return epoch > 0 && (!isFirstStart || epoch !== this.#firstEpoch);
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
    // The write may have taken effect although its response was lost, or may
    // have met a row of another epoch with the same version: `#written` stays
    // undefined, so the next renewal reads the row first.
    const isKnown = result.ok && table.epoch() === (next.epoch ?? 0);
    if (!isKnown || releases !== this.#releases) return this.held;
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
   * token stays in the row, as does its epoch: a copy that names this process may
   * hide a later holder. Returns false if the row could not be read or written, or
   * has changed meanwhile, so that the release has to be repeated.
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

  #isTakeoverDue(position: StorePosition, afterMs: number): boolean {
    const now = (this.#options.rivalClock ?? this.#options.clock).now();
    if (
      !this.#observed ||
      comparePositions(position, this.#observed.position) !== 0
    ) {
      this.#observed = { position, since: now };
      return false;
    }
    return now - this.#observed.since >= afterMs;
  }
}
