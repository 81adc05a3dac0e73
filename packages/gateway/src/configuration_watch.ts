import {
  type Changes,
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
  type StoreClient,
  type StoredRow,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { StoreError } from "@banyanspool/platform";
import type { FleetConfiguration, Result, Sleep } from "@banyanspool/types";
import type { ChangeSignal } from "./change_signal.ts";
import type { FleetState } from "./fleet_state.ts";
import { StoreHealth } from "./store_health.ts";

/** Options of {@link watchConfiguration}. */
export interface ConfigurationWatchOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Where the configuration is put in force. */
  readonly fleet: FleetState;
  /** Waits. */
  readonly sleep: Sleep;
  /** Gateways that were heard lately, this one included. */
  readonly liveCount: () => number;
  /** Notified when another gateway has a newer configuration. */
  readonly newerVersionSignal: ChangeSignal;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each newer configuration. */
  readonly onAccepted: (configuration: FleetConfiguration) => void;
}

/**
 * How long one call waits for a change, in ms for each gateway. A connection
 * that has gone silent is noticed at the end of the wait, and the first of the
 * gateways to notice tells the others of a newer version.
 */
const WAIT_PER_GATEWAY_MS = 500;
const SHORTEST_WAIT_MS = 2000;
const LONGEST_WAIT_MS = 12_000;
const RETRY_MS = 300;

/** Keeps the newest configuration in force until the signal is aborted. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, sleep, log } = options;
  let after: number | undefined;
  const health = StoreHealth.create(log, CONFIGURATION_TABLE);
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
      // What changed while nothing was heard may be missing from the feed.
      after = undefined;
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    health.recordSuccess();
    if ("kind" in res.value && res.value.kind === "historyLost") {
      log.write("store history lost", { table: CONFIGURATION_TABLE, after });
      after = undefined;
      continue;
    }
    for (const row of res.value.rows) acceptRow(row, options);
    after = res.value.version;
  }
}

/** Another gateway's version must be ahead for a while, as ours may be coming. */
const KICK_DELAY_MS = 250;

async function waitForChange(
  options: ConfigurationWatchOptions,
  after: number,
): Promise<Result<Changes, StoreError> | "kicked"> {
  const waitMs = Math.min(
    LONGEST_WAIT_MS,
    Math.max(SHORTEST_WAIT_MS, options.liveCount() * WAIT_PER_GATEWAY_MS),
  );
  const isOver = new AbortController();
  try {
    return await Promise.race([
      options.store.waitForChanges(CONFIGURATION_TABLE, { after, waitMs }),
      waitForKick(options, isOver.signal),
    ]);
  } finally {
    isOver.abort();
  }
}

async function waitForKick(
  { newerVersionSignal: kick, fleet, sleep }: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<"kicked"> {
  while (true) {
    await kick.wait(LONGEST_WAIT_MS * 2, signal);
    const before = fleet.version;
    await sleep(KICK_DELAY_MS, signal).catch(() => {});
    if (signal.aborted || fleet.version === before) return "kicked";
  }
}

function acceptRow(
  row: StoredRow,
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
  if (!fleet.accept(configuration)) return;
  log.write("configuration in force", {
    version: configuration.version,
    before,
    routes: configuration.routes.length,
    limits: changedLimits(configuration, limitsBefore),
  });
  onAccepted(configuration);
}

/** Limits that differ from those before, as `rate+burst` by organisation. */
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
