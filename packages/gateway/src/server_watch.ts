import {
  decodeBackendServer,
  SERVERS_TABLE,
  type StoreClient,
} from "@banyanspool/platform-adapter";
import type { EventLog } from "@banyanspool/logger";
import type { BackendServer, Clock, Sleep } from "@banyanspool/types";

/** Options of {@link watchServers}. */
export interface ServerWatchOptions {
  /** The store. */
  readonly store: StoreClient;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Structured log. */
  readonly log: EventLog;
  /** Called with the whole list after each read. */
  readonly onList: (servers: readonly BackendServer[]) => void;
}

/** A leaving replica must be noticed within two seconds. */
const READ_INTERVAL_MS = 900;
const RETRY_MS = 300;
/** Rows that lapsed during an outage are written again within this time. */
const REAPPEAR_MS = 2500;

/** Keeps the list of replicas until the signal is aborted. */
export async function watchServers(
  { store, clock, sleep, log, onList }: ServerWatchOptions,
  signal: AbortSignal,
): Promise<void> {
  const roster = ServerRoster.create({ log });
  let isLost = false;
  while (!signal.aborted) {
    const startedAt = clock.now();
    const res = await store.readTable(SERVERS_TABLE);
    if (!res.ok) {
      if (!isLost) {
        log.write("store lost", { table: SERVERS_TABLE, ...res.error });
      }
      isLost = true;
      roster.markOutage();
      await sleep(RETRY_MS, signal).catch(() => {});
      continue;
    }
    if (isLost) log.write("store regained", { table: SERVERS_TABLE });
    isLost = false;
    const listed = res.value.rows.flatMap((row) => {
      const server = decodeBackendServer(row);
      return server ? [server] : [];
    });
    onList(roster.update(listed, clock.now()));
    const restMs = READ_INTERVAL_MS - (clock.now() - startedAt);
    await sleep(Math.max(0, restMs), signal).catch(() => {});
  }
}

/**
 * The replicas to use. One that is missing from the list is gone, unless the
 * store was away: its row may have lapsed meanwhile, and the replica gets
 * some time to write it again.
 */
export class ServerRoster {
  readonly #log: EventLog;
  readonly #known: Map<string, BackendServer> = new Map();
  #hadOutage = false;
  #keepMissingUntil = -Infinity;

  private constructor(log: EventLog) {
    this.#log = log;
  }

  /** Creates an empty roster. */
  static create({ log }: { log: EventLog }): ServerRoster {
    return new ServerRoster(log);
  }

  /** Notes that the list could not be read. */
  markOutage(): void {
    this.#hadOutage = true;
  }

  /** Takes in a list that was read, and returns the replicas to use. */
  update(listed: readonly BackendServer[], now: number): BackendServer[] {
    if (this.#hadOutage) this.#keepMissingUntil = now + REAPPEAR_MS;
    this.#hadOutage = false;
    const seen = new Set(listed.map(({ id }) => id));
    for (const server of listed) this.#take(server);
    for (const [id, server] of this.#known) {
      if (seen.has(id) || now < this.#keepMissingUntil) continue;
      this.#known.delete(id);
      this.#log.write("replica gone", { replica: id, service: server.service });
    }
    return [...this.#known.values()];
  }

  #take(server: BackendServer): void {
    const before = this.#known.get(server.id);
    this.#known.set(server.id, server);
    if (!before) {
      this.#log.write("replica listed", {
        replica: server.id,
        service: server.service,
        address: server.address,
      });
      return;
    }
    if (server.leaving && !before.leaving) {
      this.#log.write("replica leaving", { replica: server.id });
    }
    if (server.startedAt !== before.startedAt) {
      this.#log.write("replica restarted", { replica: server.id });
    }
  }
}
