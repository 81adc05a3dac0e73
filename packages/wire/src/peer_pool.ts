import { type Client, createClient } from "@connectrpc/connect";
import {
  createGrpcTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { AgentService } from "./gen/banyanspool/v1/agent_pb.ts";
import { PeerService } from "./gen/banyanspool/v1/peer_pb.ts";
import {
  createCredentialInterceptor,
  type CredentialOptions,
} from "./credential.ts";

const PING_INTERVAL_MS = 500;
const PING_TIMEOUT_MS = 1000;
const IDLE_TIMEOUT_MS = 60_000;

/** Client of an agent. */
export type AgentClient = Client<typeof AgentService>;
/** Client of any daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Options of {@link PeerPool.create}. */
export interface PeerPoolOptions extends CredentialOptions {
  /** Message size limit, in bytes. */
  readonly maxMessageBytes: number;
}

/** A connection to one peer. */
export interface PeerConnection {
  /** Client of the agent there. */
  readonly agent: AgentClient;
  /** Client of the daemon there. */
  readonly peer: PeerClient;
  /** Makes the next call open a new connection, if this one is still in use. */
  readonly abandon: () => void;
}

/**
 * One HTTP/2 connection to each peer. An idle one is verified before it is
 * used, a busy one is checked by heartbeats, and one that was silent too long
 * is abandoned, so that the next call opens a new one. The library opens a
 * new stream only when none was created: no request is ever sent twice.
 */
export class PeerPool {
  readonly #options: PeerPoolOptions;
  readonly #connections: Map<string, PeerConnection> = new Map();

  private constructor(options: PeerPoolOptions) {
    this.#options = options;
  }

  /** Creates a pool without connections. */
  static create(options: PeerPoolOptions): PeerPool {
    return new PeerPool(options);
  }

  /** The connection to an address. */
  getConnection(address: string): PeerConnection {
    const known = this.#connections.get(address);
    if (known) return known;
    const connection = this.#connect(address);
    this.#connections.set(address, connection);
    return connection;
  }

  #connect(address: string): PeerConnection {
    const baseUrl = `http://${address}`;
    const sessionManager = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
      idleConnectionTimeoutMs: IDLE_TIMEOUT_MS,
    });
    const transport = createGrpcTransport({
      baseUrl,
      sessionManager,
      interceptors: [createCredentialInterceptor(this.#options)],
      readMaxBytes: this.#options.maxMessageBytes,
      writeMaxBytes: this.#options.maxMessageBytes,
    });
    const connection: PeerConnection = {
      agent: createClient(AgentService, transport),
      peer: createClient(PeerService, transport),
      // Aborting the library's session while its heartbeat fails ends the
      // process by an unhandled error, so it is left to its own timeouts.
      abandon: () => {
        if (this.#connections.get(address) !== connection) return;
        this.#connections.delete(address);
      },
    };
    return connection;
  }
}
