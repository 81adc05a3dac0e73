import type { Clock } from "@banyanspool/types";
import type { TableStore } from "./platform.ts";

/** Options of {@link Lease.create}. */
export interface LeaseOptions {
  /** Table that holds the lease's row. */
  readonly table: TableStore;
  /** Row key. */
  readonly key: string;
  /** Who wants the lease: instance and incarnation. */
  readonly holder: string;
  /** Time that a renewal lasts, in ms. */
  readonly durationMs: number;
  /** Time after which a rival takes an unchanged row, in ms. */
  readonly takeoverMs?: number;
  /** Time source of the holder. */
  readonly clock: Clock;
  /** Time source of a rival, which must not run fast; `clock` if absent. */
  readonly rivalClock?: Clock;
}

/** Stands in the row in place of a holder that gave the lease back. */
const RELEASED = "";

interface LeaseRow {
  readonly holder: string;
  readonly fencingToken: number;
  readonly renewal: number;
}

/**
 * A lease in a table row. No clocks are compared between processes: a holder
 * counts from before it asked for the renewal, and a rival takes over only
 * after it has itself seen the row unchanged for twice the duration.
 */
export class Lease {
  readonly #options: LeaseOptions;
  #heldSince: number | undefined;
  #fencingToken = 0;
  /** The row as this process last wrote it. */
  #written: { row: LeaseRow; version: number } | undefined;
  #seenVersion = -1;
  #seenAt = 0;

  private constructor(options: LeaseOptions) {
    this.#options = options;
  }

  /** Creates a lease that is not yet held. */
  static create(options: LeaseOptions): Lease {
    return new Lease(options);
  }

  /** Whether the lease is held now, by this process's own clock. */
  get held(): boolean {
    if (this.#heldSince === undefined) return false;
    const age = this.#options.clock.now() - this.#heldSince;
    return age < this.#options.durationMs;
  }

  /** Rises with each change of holder; zero before the first hold. */
  get fencingToken(): number {
    return this.#fencingToken;
  }

  /** Renews or takes the lease. Returns whether it is held. */
  async renew(): Promise<boolean> {
    if (this.held && this.#written) return await this.#renewWritten();
    const { table, key, holder, clock, durationMs } = this.#options;
    const takeoverMs = this.#options.takeoverMs ?? durationMs * 2;
    const askedAt = clock.now();
    const read = await table.get(key);
    if (!read.ok) return this.held;
    const row = read.value;
    const current = row && JSON.parse(row.value) as LeaseRow;
    if (row && current?.holder !== holder) {
      this.#heldSince = undefined;
      // A holder that gave the lease back is past its last use of it.
      const waitMs = current?.holder === RELEASED
        ? takeoverMs - durationMs
        : takeoverMs;
      if (!this.#isAbandoned(row.version, waitMs)) return false;
    }
    const fencingToken = current?.holder === holder
      ? current.fencingToken
      : (current?.fencingToken ?? 0) + 1;
    const next: LeaseRow = {
      holder,
      fencingToken,
      renewal: (current?.renewal ?? 0) + 1,
    };
    return await this.#write(next, { version: row?.version ?? 0, askedAt });
  }

  /** Renews without reading, as long as nobody else has written the row. */
  async #renewWritten(): Promise<boolean> {
    const { row, version } = this.#written!;
    const askedAt = this.#options.clock.now();
    const next = { ...row, renewal: row.renewal + 1 };
    return await this.#write(next, { version, askedAt });
  }

  async #write(
    next: LeaseRow,
    { version, askedAt }: { version: number; askedAt: number },
  ): Promise<boolean> {
    const { table, key } = this.#options;
    this.#written = undefined;
    const result = await table.commit({
      checks: [{ key, version }],
      puts: [{ key, value: JSON.stringify(next) }],
    });
    // After a lost answer the row is read before the next write.
    if (!result.ok) return this.held;
    if (result.value.kind === "conflict") {
      this.#heldSince = undefined;
      return false;
    }
    this.#heldSince = askedAt;
    this.#fencingToken = next.fencingToken;
    if (result.value.version !== undefined) {
      this.#written = { row: next, version: result.value.version };
    }
    return this.held;
  }

  /** Gives the lease back; the fencing token stays in the row. */
  async release(): Promise<void> {
    if (!this.held) return;
    this.#heldSince = undefined;
    this.#written = undefined;
    const { table, key } = this.#options;
    const read = await table.get(key);
    if (!read.ok || !read.value) return;
    const current = JSON.parse(read.value.value) as LeaseRow;
    if (current.holder !== this.#options.holder) return;
    await table.commit({
      checks: [{ key, version: read.value.version }],
      puts: [{ key, value: JSON.stringify({ ...current, holder: RELEASED }) }],
    });
  }

  #isAbandoned(version: number, afterMs: number): boolean {
    const now = (this.#options.rivalClock ?? this.#options.clock).now();
    if (version !== this.#seenVersion) {
      this.#seenVersion = version;
      this.#seenAt = now;
      return false;
    }
    return now - this.#seenAt >= afterMs;
  }
}
