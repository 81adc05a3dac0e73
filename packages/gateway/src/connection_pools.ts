import type { BackendServer } from "@banyanspool/types";
import { Pool } from "undici";
import { ResetDetector } from "./reset_detector.ts";

/** Connections to one life of a replica. */
export interface ReplicaConnections {
  /** The connections. */
  readonly pool: Pool;
  /** Tells an end from a reset. */
  readonly resetDetector: ResetDetector;
}

/** Options of {@link ConnectionPools.create}. */
export interface ConnectionPoolsOptions {
  /** Connections that this process may keep to one replica. */
  readonly maxConnectionsFor: (service: string) => number;
}

/** Part of a second after which a connection attempt is given up, in ms. */
const CONNECT_TIMEOUT_MS = 700;
/** Idle time after which a connection is closed, unless the replica says less. */
const KEEP_ALIVE_MS = 10_000;
/** Taken off what a replica announces, so that a request can't cross its end. */
const KEEP_ALIVE_MARGIN_MS = 1200;
const LONGEST_KEEP_ALIVE_MS = 30_000;

/** Connections to each life of each replica. */
export class ConnectionPools {
  readonly #options: ConnectionPoolsOptions;
  readonly #pools: Map<string, ReplicaConnections> = new Map();

  private constructor(options: ConnectionPoolsOptions) {
    this.#options = options;
  }

  /** Creates the pools; each connects at its first request. */
  static create(options: ConnectionPoolsOptions): ConnectionPools {
    return new ConnectionPools(options);
  }

  /** Connections to a replica. */
  forReplica(server: BackendServer): ReplicaConnections {
    const key = poolKey(server);
    const known = this.#pools.get(key);
    if (known) return known;
    const probe = ResetDetector.create();
    const pool = new Pool(`http://${server.address}`, {
      connections: this.#options.maxConnectionsFor(server.service),
      pipelining: 1,
      connect: probe.createConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      keepAliveMaxTimeout: LONGEST_KEEP_ALIVE_MS,
      bodyTimeout: 0,
      headersTimeout: 0,
    });
    const connections = { pool, resetDetector: probe };
    this.#pools.set(key, connections);
    return connections;
  }

  /** Closes the connections to replicas that are not listed any more. */
  closeAllExcept(servers: Iterable<BackendServer>): void {
    const keys = new Set([...servers].map(poolKey));
    for (const [key, { pool }] of this.#pools) {
      if (keys.has(key)) continue;
      this.#pools.delete(key);
      // Requests in flight end first.
      pool.close().catch(() => {});
    }
  }
}

function poolKey({ id, address, startedAt }: BackendServer): string {
  return `${id} ${address} ${startedAt}`;
}
