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

/** Client of an agent. */
export type AgentClient = Client<typeof AgentService>;
/** Client of any daemon. */
export type PeerClient = Client<typeof PeerService>;

/** Options of {@link PeerPool.create}. */
export interface PeerPoolOptions extends CredentialOptions {
  /** Message size limit, in bytes. */
  readonly maxMessageBytes: number;
}

interface Peer {
  readonly session: Http2SessionManager;
  readonly agent: AgentClient;
  readonly peer: PeerClient;
}

/**
 * One HTTP/2 connection to each peer, with heartbeats. A connection that has
 * been silent too long is abandoned, and the next call opens a new one. The
 * library opens a new stream only when none was created, so that no request
 * is ever sent twice.
 */
export class PeerPool {
  readonly #options: PeerPoolOptions;
  readonly #peers: Map<string, Peer> = new Map();

  private constructor(options: PeerPoolOptions) {
    this.#options = options;
  }

  /** Creates a pool without connections. */
  static create(options: PeerPoolOptions): PeerPool {
    return new PeerPool(options);
  }

  /** Client of the agent at an address. */
  agent(address: string): AgentClient {
    return this.#peerAt(address).agent;
  }

  /** Client of the daemon at an address. */
  peer(address: string): PeerClient {
    return this.#peerAt(address).peer;
  }

  /** Drops a silent connection with all its streams. */
  abandon(address: string): void {
    const peer = this.#peers.get(address);
    this.#peers.delete(address);
    peer?.session.abort();
  }

  /** Drops all connections. */
  close(): void {
    for (const address of [...this.#peers.keys()]) this.abandon(address);
  }

  #peerAt(address: string): Peer {
    const known = this.#peers.get(address);
    if (known) return known;
    const baseUrl = `http://${address}`;
    const session = new Http2SessionManager(baseUrl, {
      pingIntervalMs: PING_INTERVAL_MS,
      pingTimeoutMs: PING_TIMEOUT_MS,
    });
    const transport = createGrpcTransport({
      baseUrl,
      sessionManager: session,
      interceptors: [createCredentialInterceptor(this.#options)],
      readMaxBytes: this.#options.maxMessageBytes,
      writeMaxBytes: this.#options.maxMessageBytes,
    });
    const peer = {
      session,
      agent: createClient(AgentService, transport),
      peer: createClient(PeerService, transport),
    };
    this.#peers.set(address, peer);
    return peer;
  }
}
