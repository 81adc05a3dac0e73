import type { StoreClient } from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Sleep } from "@banyanspool/types";
import type { ChangeSignal } from "./change_signal.ts";
import type { GatewayContext } from "./context.ts";
import {
  composeRow,
  decodeRow,
  digestRow,
  encodeRow,
  recallRow,
} from "./recovery_row.ts";

/** Options of {@link RecoveryTable.create}. */
export interface RecoveryTableOptions {
  /** Client of the store that holds the table. */
  readonly store: StoreClient;
  /** What is stored, and what stored rows are applied to. */
  readonly ctx: GatewayContext;
  /** Instance name of this gateway. */
  readonly instance: string;
  /** Whether no gateway can have written a row before. */
  readonly isFirstStart: boolean;
  /** Number of live gateways. */
  readonly liveCount: () => number;
  /** Notified when the store was restored, which may have lost the row. */
  readonly restoredSignal: ChangeSignal;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
}

const RECOVERY_TABLE = "banyanspool_recovery";
/** Interval at which changes are looked for, in ms. */
const CHECK_INTERVAL_MS = 200;
/**
 * Minimum time between two writes, and added to it for each gateway, in ms, so
 * that all of them together write at most twenty times a second.
 */
const MIN_WRITE_GAP_MS = 400;
const WRITE_GAP_PER_GATEWAY_MS = 50;
const RETRY_MS = 500;
/** Interval at which a row is written although nothing has changed, in ms. */
const REFRESH_INTERVAL_MS = 300_000;

/**
 * Keeps in the store what must outlive a loss of all gateways. The rows are read
 * once, at the start of a process, and its own row is written when it changes.
 */
export class RecoveryTable {
  readonly #options: RecoveryTableOptions;
  /** Resolves when the rows have been read, or there can't be any. */
  readonly recalled: Promise<void>;
  #markRecalled!: () => void;

  private constructor(options: RecoveryTableOptions) {
    this.#options = options;
    this.recalled = new Promise((resolve) => this.#markRecalled = resolve);
  }

  /** Creates a table that isn't read yet; see `run`. */
  static create(options: RecoveryTableOptions): RecoveryTable {
    return new RecoveryTable(options);
  }

  /** Reads the rows, then keeps the own row until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { isFirstStart, sleep } = this.#options;
    while (!isFirstStart && !await this.#recall() && !signal.aborted) {
      await sleep(RETRY_MS, signal).catch(() => {});
    }
    this.#markRecalled();
    await this.#maintain(signal);
  }

  /** Applies all rows; returns whether they could be read. */
  async #recall(): Promise<boolean> {
    const { store, ctx, log } = this.#options;
    const read = await store.readTable(RECOVERY_TABLE);
    if (!read.ok) return false;
    let unreadable = 0;
    for (const { text } of read.value.rows) {
      const row = decodeRow(text);
      if (row) recallRow(ctx, row);
      else unreadable += 1;
    }
    log.write("recovery rows read", {
      rows: read.value.rows.length,
      unreadable,
    });
    return true;
  }

  async #maintain(signal: AbortSignal): Promise<void> {
    const { ctx, store, liveCount, restoredSignal } = this.#options;
    let written = digestRow({
      writtenAt: 0,
      versions: new Map(),
      origins: [],
      quarantined: [],
    });
    let writtenAt = ctx.clock.now();
    let epoch = store.epoch;
    while (!signal.aborted) {
      const row = composeRow(ctx);
      const digest = digestRow(row);
      const now = ctx.clock.now();
      const isDue = digest !== written || store.epoch !== epoch ||
        now - writtenAt > REFRESH_INTERVAL_MS;
      let waitMs = CHECK_INTERVAL_MS;
      if (isDue && await this.#write(encodeRow(row))) {
        written = digest;
        writtenAt = now;
        epoch = store.epoch;
        waitMs = MIN_WRITE_GAP_MS + WRITE_GAP_PER_GATEWAY_MS * liveCount();
      } else if (isDue) waitMs = RETRY_MS;
      await restoredSignal.wait(waitMs, signal);
    }
  }

  async #write(text: string): Promise<boolean> {
    const { store, instance, log } = this.#options;
    const res = await store.commit({
      table: RECOVERY_TABLE,
      expected: [],
      put: [{ key: instance, text }],
      remove: [],
    });
    if (!res.ok) {
      log.write("recovery row not written", { detail: res.error.kind });
    }
    return res.ok;
  }
}
