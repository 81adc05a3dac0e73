import {
  type Changes,
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
  type RowSet,
  type StoreClient,
  type StoredRow,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { StoreError, StorePosition } from "@banyanspool/platform";
import type {
  Clock,
  FleetConfiguration,
  Random,
  Result,
  Sleep,
} from "@banyanspool/types";
import type { ConfigurationFreshness } from "./configuration_freshness.ts";
import type { FleetState } from "./fleet_state.ts";
import { StoreBackoff } from "./store_backoff.ts";
import { StoreHealth } from "./store_health.ts";

/** Calls of the store that the watch needs. */
export type ConfigurationStore = Pick<
  StoreClient,
  "readTable" | "waitForChanges"
>;

/**
 * How a configuration was learnt: from the call that waits for a change, from a
 * read that was due although no change was known, or from a read of the whole
 * table.
 */
export type ConfigurationOrigin = "wait" | "check" | "read";

/** Options of {@link watchConfiguration}. */
export interface ConfigurationWatchOptions {
  /** Configuration store. */
  readonly store: ConfigurationStore;
  /** State in which the configuration is activated. */
  readonly fleet: FleetState;
  /** Called with all rows that were read, of which others hold evacuations. */
  readonly onRows?: (rows: RowSet, origin: ConfigurationOrigin) => void;
  /** Age of the configuration here and at the other gateways. */
  readonly freshness: ConfigurationFreshness;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each configuration that has been activated. */
  readonly onAccepted: (
    configuration: FleetConfiguration,
    origin: ConfigurationOrigin,
  ) => void;
}

/** Time for which one call waits for a change, in ms; the store's longest. */
const WAIT_MS = 30_000;

/** A wait that ended because the configuration is known to be outdated. */
interface OutdatedWait {
  readonly kind: "outdated";
}

/** What ended a wait, and which of the calls. */
type WaitResult = Result<
  (Changes & { readonly origin: ConfigurationOrigin }) | OutdatedWait,
  StoreError
>;

/** Reads and activates newer configurations until the signal is aborted. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { sleep, log, random } = options;
  let after: StorePosition | undefined;
  const health = StoreHealth.create(log, CONFIGURATION_TABLE);
  const backoff = StoreBackoff.create({ random });
  const rereadBackoff = StoreBackoff.create({ random });
  while (!signal.aborted) {
    const res = after === undefined
      ? await readWhole(options)
      : await waitForChange(options, { after, rereadBackoff, signal });
    if (!res.ok) {
      health.recordFailure(res.error);
      // The change feed may lack changes made while it couldn't be read, so the
      // whole table is read again.
      after = undefined;
      await sleep(backoff.nextDelayMs(), signal).catch(() => {});
      continue;
    }
    health.recordSuccess();
    backoff.reset();
    switch (res.value.kind) {
      case "historyLost":
        log.write("store history lost", {
          table: CONFIGURATION_TABLE,
          after: after?.version,
          epoch: after?.epoch,
        });
        after = undefined;
        continue;
      case "outdated":
        after = undefined;
        continue;
      case "changes": {
        const { rows, position, origin } = res.value;
        options.onRows?.({ rows, position }, origin);
        for (const row of rows) {
          acceptRow(row, { epoch: position.epoch, origin }, options);
        }
        if (!options.freshness.isOutdated) rereadBackoff.reset();
        after = position;
      }
    }
  }
}

async function readWhole(
  { store, clock, freshness }: ConfigurationWatchOptions,
): Promise<WaitResult> {
  const startedAt = clock.now();
  const res = await store.readTable(CONFIGURATION_TABLE, { isFresh: true });
  if (!res.ok) return res;
  const { rows, position }: RowSet = res.value;
  freshness.recordRead(startedAt, position.epoch);
  return {
    ok: true,
    value: { kind: "changes", origin: "read", rows, position },
  };
}

/**
 * Waits for a change in one long call. Meanwhile, short calls on connections of
 * their own check that there is none whenever no gateway has done so for some
 * time, as the long call may be dead without notice.
 */
async function waitForChange(
  options: ConfigurationWatchOptions,
  { after, rereadBackoff, signal }: {
    after: StorePosition;
    rereadBackoff: StoreBackoff;
    signal: AbortSignal;
  },
): Promise<WaitResult> {
  const controller = new AbortController();
  const abort = () => controller.abort();
  signal.addEventListener("abort", abort);
  const wait = { after, signal: controller.signal };
  try {
    return await Promise.race([
      waitInStore(options, wait),
      waitUntilOutdated(options, { ...wait, rereadBackoff }),
      checkWhenDue(options, wait),
    ]);
  } finally {
    signal.removeEventListener("abort", abort);
    controller.abort();
  }
}

interface WaitOptions {
  readonly after: StorePosition;
  readonly signal: AbortSignal;
}

async function waitInStore(
  { store }: ConfigurationWatchOptions,
  { after, signal }: WaitOptions,
): Promise<WaitResult> {
  const res = await store.waitForChanges(CONFIGURATION_TABLE, {
    after,
    waitMs: WAIT_MS,
    signal,
  });
  if (!res.ok) return res;
  return { ok: true, value: { ...res.value, origin: "wait" } };
}

/**
 * Waits until the configuration is outdated and stays so for a moment, as the
 * change may be on its way through the other calls. The delay also spreads the
 * reads of many gateways, and spares a store that lacks what other gateways have.
 */
async function waitUntilOutdated(
  { freshness, sleep }: ConfigurationWatchOptions,
  { rereadBackoff, signal }: WaitOptions & { rereadBackoff: StoreBackoff },
): Promise<WaitResult> {
  while (!signal.aborted) {
    await freshness.waitUntilOutdated(signal);
    await sleep(rereadBackoff.nextDelayMs(), signal).catch(() => {});
    if (freshness.isOutdated) break;
    rereadBackoff.reset();
  }
  return { ok: true, value: { kind: "outdated" } };
}

async function checkWhenDue(
  { store, freshness, clock, sleep }: ConfigurationWatchOptions,
  { after, signal }: WaitOptions,
): Promise<WaitResult> {
  while (!signal.aborted) {
    const dueInMs = freshness.readDueInMs;
    if (dueInMs > 0) {
      await sleep(dueInMs, signal).catch(() => {});
      continue;
    }
    const startedAt = clock.now();
    const res = await store.waitForChanges(CONFIGURATION_TABLE, {
      after,
      waitMs: 0,
      signal,
      isFresh: true,
    });
    if (!res.ok) return res;
    const value = { ...res.value, origin: "check" } as const;
    if (value.kind === "historyLost") return { ok: true, value };
    freshness.recordRead(startedAt, value.position.epoch);
    if (value.rows.length > 0) return { ok: true, value };
  }
  return { ok: true, value: { kind: "outdated" } };
}

function acceptRow(
  row: StoredRow,
  { epoch, origin }: { epoch: number; origin: ConfigurationOrigin },
  { fleet, log, onAccepted }: ConfigurationWatchOptions,
): void {
  if (row.key !== CONFIGURATION_KEY || row.removed) return;
  const configuration = decodeConfiguration(row.text);
  if (!configuration) {
    log.write("configuration unreadable", { row_version: row.version });
    return;
  }
  const before = fleet.version;
  const limitsBefore = fleet.activeConfiguration?.configuration.organisations;
  if (!fleet.accept(configuration, { epoch, text: row.text })) return;
  log.write("configuration in force", {
    version: configuration.version,
    before,
    learned: origin,
    routes: configuration.routes.length,
    limits: changedLimits(configuration, limitsBefore),
  });
  onAccepted(configuration, origin);
}

/** Limits that are new or have changed, as `rate+burst` by organisation. */
function changedLimits(
  { organisations }: FleetConfiguration,
  before: FleetConfiguration["organisations"] | undefined,
): Record<string, string> {
  const changed: Record<string, string> = {};
  for (const [name, { ratePerS, burst }] of organisations) {
    const known = before?.get(name);
    if (known?.ratePerS === ratePerS && known.burst === burst) continue;
    changed[name] = `${ratePerS}+${burst}`;
  }
  return changed;
}
