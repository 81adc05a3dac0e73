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
  /** Client of the store that holds the replica list. */
  readonly store: StoreClient;
  /** Registry that each list is applied to. */
  readonly registry: ReplicaRegistry;
  /** Decides when the list is read next. */
  readonly readSchedule: ListReadSchedule;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called after each list that has been applied. */
  readonly onRead: () => void;
}

const RETRY_MS = 300;

/** Reads the replica list whenever a read is due, until the signal is aborted. */
export async function watchReplicas(
  options: ReplicaWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const {
    store,
    registry,
    readSchedule,
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
      registry.recordReadFailure();
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    health.recordSuccess();
    const listed = res.value.rows.flatMap((row) => {
      const server = decodeBackendServer(row);
      return server ? [{ server, version: row.version }] : [];
    });
    registry.applyList(listed, {
      version: res.value.version,
      now: clock.now(),
    });
    onRead();
    readSchedule.recordOwnRead(startedAt);
    while (!signal.aborted && readSchedule.dueInMs > 0) {
      await sleep(readSchedule.dueInMs, signal).catch(() => {});
    }
  }
}
