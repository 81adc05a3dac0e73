import {
  type Changes,
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
  type StoreClient,
  type StoredRow,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { StoreError, StorePosition } from "@banyanspool/platform";
import type {
  FleetConfiguration,
  Random,
  Result,
  Sleep,
} from "@banyanspool/types";
import type { ChangeSignal } from "./change_signal.ts";
import type { FleetState } from "./fleet_state.ts";
import { StoreBackoff } from "./store_backoff.ts";
import { StoreHealth } from "./store_health.ts";

/** Options of {@link watchConfiguration}. */
export interface ConfigurationWatchOptions {
  /** Client of the configuration store. */
  readonly store: StoreClient;
  /** State in which the configuration is activated. */
  readonly fleet: FleetState;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Number of live gateways, including this one. */
  readonly liveCount: () => number;
  /** Notified when another gateway reports a newer configuration version. */
  readonly newerVersionSignal: ChangeSignal;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each configuration that has been activated. */
  readonly onAccepted: (configuration: FleetConfiguration) => void;
}

/**
 * Time for which one call waits for a change, in ms for each live gateway. A
 * dead connection is noticed only at the end of the wait; the first gateway to
 * notice then reports a newer version to the others.
 */
const WAIT_PER_GATEWAY_MS = 500;
const MIN_WAIT_MS = 2000;
/** The store ends a call after this time. */
const MAX_WAIT_MS = 30_000;

/** Reads and activates newer configurations until the signal is aborted. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, sleep, log, random } = options;
  let after: StorePosition | undefined;
  const health = StoreHealth.create(log, CONFIGURATION_TABLE);
  const backoff = StoreBackoff.create({ random });
  while (!signal.aborted) {
    const res = after === undefined
      ? await store.readTable(CONFIGURATION_TABLE)
      : await waitForChange(options, after);
    if (res === "kicked") {
      after = undefined;
      continue;
    }
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
    if ("kind" in res.value && res.value.kind === "historyLost") {
      log.write("store history lost", {
        table: CONFIGURATION_TABLE,
        after: after?.version,
        epoch: after?.epoch,
      });
      after = undefined;
      continue;
    }
    const { rows, position } = res.value;
    for (const row of rows) acceptRow(row, position.epoch, options);
    after = position;
  }
}

/**
 * Time that this gateway gets, in ms, to receive a newer version through its
 * own pending call before that call is abandoned.
 */
const OWN_UPDATE_GRACE_MS = 250;

async function waitForChange(
  options: ConfigurationWatchOptions,
  after: StorePosition,
): Promise<Result<Changes, StoreError> | "kicked"> {
  const waitMs = Math.min(
    MAX_WAIT_MS,
    Math.max(MIN_WAIT_MS, options.liveCount() * WAIT_PER_GATEWAY_MS),
  );
  const controller = new AbortController();
  try {
    return await Promise.race([
      options.store.waitForChanges(CONFIGURATION_TABLE, { after, waitMs }),
      waitForNewerVersion(options, controller.signal),
    ]);
  } finally {
    controller.abort();
  }
}

async function waitForNewerVersion(
  { newerVersionSignal, fleet, sleep }: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<"kicked"> {
  while (true) {
    await newerVersionSignal.wait(MAX_WAIT_MS * 2, signal);
    const before = fleet.version;
    await sleep(OWN_UPDATE_GRACE_MS, signal).catch(() => {});
    if (signal.aborted || fleet.version === before) return "kicked";
  }
}

function acceptRow(
  row: StoredRow,
  epoch: number,
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
    routes: configuration.routes.length,
    limits: changedLimits(configuration, limitsBefore),
  });
  onAccepted(configuration);
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
