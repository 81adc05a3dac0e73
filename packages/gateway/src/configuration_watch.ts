import {
  CONFIGURATION_KEY,
  CONFIGURATION_TABLE,
  decodeConfiguration,
  type StoreClient,
  type StoredRow,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { FleetConfiguration, Sleep } from "@banyanspool/types";
import type { FleetState } from "./fleet_state.ts";

/** Options of {@link watchConfiguration}. */
export interface ConfigurationWatchOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Where the configuration is put in force. */
  readonly fleet: FleetState;
  /** Waits. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each newer configuration. */
  readonly onAccepted: (configuration: FleetConfiguration) => void;
}

/**
 * How long one call waits for a change, in ms. A connection that has gone
 * silent is noticed within this and a second.
 */
const WAIT_MS = 4000;
const RETRY_MS = 300;

/** Keeps the newest configuration in force until the signal is aborted. */
export async function watchConfiguration(
  options: ConfigurationWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, sleep, log } = options;
  let after: number | undefined;
  let isLost = false;
  while (!signal.aborted) {
    const res = after === undefined
      ? await store.readTable(CONFIGURATION_TABLE)
      : await store.waitForChanges(CONFIGURATION_TABLE, {
        after,
        waitMs: WAIT_MS,
      });
    if (!res.ok) {
      if (!isLost) {
        log.write("store lost", { table: CONFIGURATION_TABLE, ...res.error });
      }
      isLost = true;
      // What changed while nothing was heard may be missing from the feed.
      after = undefined;
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    if (isLost) log.write("store regained", { table: CONFIGURATION_TABLE });
    isLost = false;
    if ("kind" in res.value && res.value.kind === "historyLost") {
      log.write("store history lost", { table: CONFIGURATION_TABLE, after });
      after = undefined;
      continue;
    }
    for (const row of res.value.rows) acceptRow(row, options);
    after = res.value.version;
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
  if (!fleet.accept(configuration)) return;
  log.write("configuration in force", {
    version: configuration.version,
    before,
    routes: configuration.routes.length,
  });
  onAccepted(configuration);
}
