import {
  decodeBackendServer,
  SERVERS_TABLE,
  type StoreClient,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Clock, Sleep } from "@banyanspool/types";
import type { ListReadSchedule } from "./list_read_schedule.ts";
import type { ReplicaRegistry } from "./replica_registry.ts";
import { StoreHealth } from "./store_health.ts";

/** Options of {@link watchReplicas}. */
export interface ReplicaWatchOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Where what is read goes. */
  readonly registry: ReplicaRegistry;
  /** Who read the list when. */
  readonly readSchedule: ListReadSchedule;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called after each read. */
  readonly onRead: () => void;
}

const RETRY_MS = 300;

/** Keeps the list of replicas until the signal is aborted. */
export async function watchReplicas(
  options: ReplicaWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const {
    store,
    registry: roster,
    readSchedule: reads,
    clock,
    sleep,
    log,
    onRead,
  } = options;
  const health = StoreHealth.create(log, SERVERS_TABLE);
  while (!signal.aborted) {
    const startedAt = clock.now();
    const res = await store.readTable(SERVERS_TABLE);
    if (!res.ok) {
      health.recordFailure(res.error);
      roster.recordReadFailure();
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    health.recordSuccess();
    const listed = res.value.rows.flatMap((row) => {
      const server = decodeBackendServer(row);
      return server ? [{ server, version: row.version }] : [];
    });
    roster.applyList(listed, { version: res.value.version, now: clock.now() });
    onRead();
    reads.recordOwnRead(startedAt);
    while (!signal.aborted && reads.dueInMs > 0) {
      await sleep(reads.dueInMs, signal).catch(() => {});
    }
  }
}
