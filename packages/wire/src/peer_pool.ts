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

/** Client of an agent's service. */
export type AgentClient = Client<typeof AgentService>;
/** Client of the service that every daemon has. */
export type PeerClient = Client<typeof PeerService>;

/** Options of {@link PeerPool.create}. */
export interface PeerPoolOptions extends CredentialOptions {
  /** Maximum size of a message in each direction, in bytes. */
  readonly maxMessageBytes: number;
}

/** A connection to one daemon; it is opened by the first call. */
export interface PeerConnection {
  /** Client of its agent service. */
  readonly agent: AgentClient;
  /** Client of its peer service. */
  readonly peer: PeerClient;
  /**
   * Removes the connection from the pool, so that the next
   * {@link PeerPool.getConnection} returns a new one.
   */
  readonly abandon: () => void;
}

/**
 * Pool with one HTTP/2 connection to each peer. An idle connection is verified
 * before it is used, and one with open streams is checked by pings. A
 * connection whose peer was silent too long is abandoned, so that the next call
 * opens a new one. The library retries opening a stream only if none was
 * created, so it never sends a request twice.
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

  /** Returns the pooled connection to an address, or adds a new one. */
  getConnection(address: string): PeerConnection {
    const existing = this.#connections.get(address);
    if (existing) return existing;
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
      // Aborting the library's session while its ping fails would crash the
      // process with an unhandled error, so the session is left to its own
      // time-outs.
      abandon: () => {
        if (this.#connections.get(address) !== connection) return;
        this.#connections.delete(address);
      },
    };
    return connection;
  }
}
