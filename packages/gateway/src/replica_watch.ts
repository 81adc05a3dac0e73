import {
  decodeBackendServer,
  SERVERS_TABLE,
  type StoreClient,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { Clock, Random, Sleep } from "@banyanspool/types";
import type { SharedReadSchedule } from "./shared_read_schedule.ts";
import type { ReplicaRegistry } from "./replica_registry.ts";
import { StoreBackoff } from "./store_backoff.ts";
import { StoreHealth } from "./store_health.ts";

/** Options of {@link watchReplicas}. */
export interface ReplicaWatchOptions {
  /** Client of the store that holds the replica list. */
  readonly store: StoreClient;
  /** Registry that each list is applied to. */
  readonly registry: ReplicaRegistry;
  /** Decides when the list is read next. */
  readonly readSchedule: SharedReadSchedule;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Structured log. */
  readonly log: EventLog;
  /** Called after each list that has been applied. */
  readonly onRead: () => void;
}

/** Interval at which reports may make a read due earlier, in ms. */
const RECHECK_MS = 200;

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
    random,
    onRead,
  } = options;
  const health = StoreHealth.create(log, SERVERS_TABLE);
  const backoff = StoreBackoff.create({ random });
  /** Keys of listed rows that can't be read, each of which is logged once. */
  const unreadable = new Set<string>();
  while (!signal.aborted) {
    const startedAt = clock.now();
    const res = await store.readTable(SERVERS_TABLE);
    if (!res.ok) {
      health.recordFailure(res.error);
      registry.recordReadFailure();
      await sleep(backoff.nextDelayMs(), signal).catch(() => {});
      continue;
    }
    health.recordSuccess();
    backoff.reset();
    const { rows, position } = res.value;
    const { epoch } = position;
    const listed = rows.flatMap((row) => {
      const server = decodeBackendServer(row);
      const { key, version } = row;
      if (server) unreadable.delete(key);
      else if (!unreadable.has(key)) {
        unreadable.add(key);
        log.write("replica row unreadable", { replica: key, version });
      }
      return server ? [{ server, position: { epoch, version } }] : [];
    });
    const keys = new Set(rows.map(({ key }) => key));
    for (const key of unreadable) if (!keys.has(key)) unreadable.delete(key);
    registry.applyList(listed, { position, now: clock.now() });
    onRead();
    readSchedule.recordOwnRead(startedAt);
    while (!signal.aborted && readSchedule.dueInMs > 0) {
      const waitMs = Math.min(readSchedule.dueInMs, RECHECK_MS);
      await sleep(waitMs, signal).catch(() => {});
    }
  }
}
