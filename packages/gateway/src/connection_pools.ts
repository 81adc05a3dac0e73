import type { Socket } from "node:net";
import type { BackendServer } from "@banyanspool/types";
import {
  createReplicaConnector,
  ResponseMatcher,
} from "@banyanspool/responses";
import { type Dispatcher, Pool } from "undici";
import { ReadGuard } from "./read_guard.ts";

/** Connections to one incarnation of a replica. */
export interface ReplicaConnections {
  /** Pool of the connections. */
  readonly pool: Pool;
  /** Closes a connection with endless bytes that are no response. */
  readonly readGuard: ReadGuard;
  /** Matcher of the connection whose bytes are being parsed. */
  readonly currentMatcher: () => ResponseMatcher;
}

/** Options of {@link ConnectionPools.create}. */
export interface ConnectionPoolsOptions {
  /**
   * Returns the maximum number of connections from this process to a replica.
   */
  readonly maxConnectionsFor: (service: string) => number;
}

const CONNECT_TIMEOUT_MS = 700;
/**
 * Idle time after which a connection is closed if the replica announces none.
 */
const KEEP_ALIVE_MS = 10_000;
/**
 * Subtracted from the keep-alive time that a replica announces, so that no
 * request is sent while the replica closes the connection.
 */
const KEEP_ALIVE_MARGIN_MS = 1200;
const MAX_KEEP_ALIVE_MS = 30_000;
/** Calls to one engine are made one after the other, but for a late one. */
const ENGINE_CONNECTIONS = 2;

/** Connection pools by replica; a restarted replica gets a new pool. */
export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #pools: Map<string, ReplicaConnections> = new Map();
  readonly #enginePools: Map<string, Pool> = new Map();

  private constructor(options: ConnectionPoolsOptions) {
    this.#options = options;
  }

  /** Creates an empty set of pools. Each connects at its first request. */
  static create(options: ConnectionPoolsOptions): ConnectionPools {
    return new ConnectionPools(options);
  }

  /**
   * Returns the connections for callers' requests to a replica; they are created
   * if needed.
   */
  forReplica(server: BackendServer): ReplicaConnections {
    const key = poolKey(server);
    const existing = this.#pools.get(key);
    if (existing) return existing;
    const readGuard = ReadGuard.create();
    const pool = new Pool(`http://${server.address}`, {
      connections: this.#options.maxConnectionsFor(server.service),
      pipelining: 1,
      connect: createReplicaConnector(
        CONNECT_TIMEOUT_MS,
        (socket) => readGuard.watch(socket),
      ),
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
      bodyTimeout: 0,
      headersTimeout: 0,
    });
    const matchers = new WeakMap<Socket, ResponseMatcher>();
    const currentMatcher = () => {
      const socket = readGuard.lastSocket;
      const known = socket && matchers.get(socket);
      if (known) return known;
      const matcher = ResponseMatcher.create();
      if (socket) matchers.set(socket, matcher);
      return matcher;
    };
    const connections = { pool, readGuard, currentMatcher };
    this.#pools.set(key, connections);
    return connections;
  }

  /**
   * Takes connections out of use, as open ones may have gone silent without
   * notice. Requests in flight on them are completed.
   */
  retire(server: BackendServer, used: ReplicaConnections): void {
    const key = poolKey(server);
    if (this.#pools.get(key) !== used) return;
    this.#pools.delete(key);
    used.pool.close().catch(() => {});
  }

  /**
   * Returns connections for orders to a replica's engine and reads of its reports.
   * Their responses have no ids, so a late copy of one must not come where a
   * caller's request waits.
   */
  forEngine(server: BackendServer): Dispatcher {
    const key = poolKey(server);
    const existing = this.#enginePools.get(key);
    if (existing) return existing;
    const pool = new Pool(`http://${server.address}`, {
      connections: ENGINE_CONNECTIONS,
      pipelining: 1,
      connectTimeout: CONNECT_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_MS,
    });
    this.#enginePools.set(key, pool);
    return pool;
  }

  /**
   * Closes the pools of all other replicas. Their requests in flight are
   * completed first.
   */
  closeAllExcept(servers: Iterable<BackendServer>): void {
    const keys = new Set([...servers].map(poolKey));
    for (const [key, { pool }] of this.#pools) {
      if (keys.has(key)) continue;
      this.#pools.delete(key);
      pool.close().catch(() => {});
    }
    for (const [key, pool] of this.#enginePools) {
      if (keys.has(key)) continue;
      this.#enginePools.delete(key);
      pool.close().catch(() => {});
    }
  }
}

function poolKey({ id, address, startedAt }: BackendServer): string {
  return `${id} ${address} ${startedAt}`;
}
