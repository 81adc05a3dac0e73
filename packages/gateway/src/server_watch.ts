import {
  decodeBackendServer,
  SERVERS_TABLE,
  type StoreClient,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Clock, Sleep } from "@banyanspool/types";
import type { ServerRoster } from "./server_roster.ts";
import { StoreHealth } from "./store_health.ts";

/** Options of {@link watchServers}. */
export interface ServerWatchOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Where what is read goes. */
  readonly roster: ServerRoster;
  /** Gateways that were heard lately, this one included. */
  readonly liveCount: () => number;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called after each read. */
  readonly onRead: () => void;
}

/**
 * Gateways tell each other what they read first, so that each need read only
 * rarely; one that hears no other reads this often, in ms.
 */
const INTERVAL_PER_GATEWAY_MS = 450;
/** A gateway alone notices a leaving replica within its two seconds. */
const SHORTEST_INTERVAL_MS = 900;
const LONGEST_INTERVAL_MS = 5000;
const RETRY_MS = 300;

/** Keeps the list of replicas until the signal is aborted. */
export async function watchServers(
  options: ServerWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const { store, roster, clock, sleep, log, onRead } = options;
  const health = StoreHealth.create(log, SERVERS_TABLE);
  while (!signal.aborted) {
    const startedAt = clock.now();
    const res = await store.readTable(SERVERS_TABLE);
    if (!res.ok) {
      health.markLost(res.error);
      roster.markOutage();
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    health.markRead();
    const listed = res.value.rows.flatMap((row) => {
      const server = decodeBackendServer(row);
      return server ? [{ server, version: row.version }] : [];
    });
    roster.update(listed, { version: res.value.version, now: clock.now() });
    onRead();
    const restMs = intervalFor(options) - (clock.now() - startedAt);
    await sleep(Math.max(0, restMs), signal).catch(() => {});
  }
}

function intervalFor({ liveCount }: ServerWatchOptions): number {
  const shared = liveCount() * INTERVAL_PER_GATEWAY_MS;
  return Math.min(
    LONGEST_INTERVAL_MS,
    Math.max(SHORTEST_INTERVAL_MS, shared),
  );
}
