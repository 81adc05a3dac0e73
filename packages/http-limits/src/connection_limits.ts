import type { IncomingMessage, ServerResponse } from "node:http";
import type { Server, Socket } from "node:net";
import { Server as TlsServer } from "node:tls";

/** Why a server closed a connection. */
export type ClosedCause = "too_many_connections" | "connection_too_old";

/** Limits on the connections of a server. */
export interface ConnectionLimits {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Time after which a connection is closed in any state, in ms. */
  readonly maxAgeMs?: number;
  /** Whether connections with a request may be closed in favour of new ones. */
  readonly closesBusy: boolean;
  /** Called for each connection that a limit closes. */
  readonly onClosed: (cause: ClosedCause) => void;
}

/** The open connections of a server. */
export interface LimitedConnections {
  /** Closes all of them. */
  readonly closeAll: () => void;
}

/** Connections that are compared when one of them is closed. */
const COMPARED_CONNECTIONS = 64;

/**
 * Limits the connections of a server. A new one beyond the maximum replaces one
 * that has waited long for a request; of several, one of the address that has
 * the most connections, so that a crowd keeps nobody else away.
 */
export function limitConnections(
  server: Server,
  limits: ConnectionLimits,
): LimitedConnections {
  const connections = OpenConnections.create(limits);
  const event = server instanceof TlsServer ? "secureConnection" : "connection";
  server.on(event, (socket: Socket) => connections.add(socket));
  server.on("request", (req: IncomingMessage, res: ServerResponse) => {
    connections.begin(req.socket);
    res.once("close", () => connections.end(req.socket));
  });
  return connections;
}

class OpenConnections implements LimitedConnections {
  readonly #limits: ConnectionLimits;
  /** Connections without a request, the longest idle first. */
  readonly #idle: Set<Socket> = new Set();
  /** Number of unanswered requests of each other connection. */
  readonly #busy: Map<Socket, number> = new Map();
  readonly #countByAddress: Map<string, number> = new Map();

  private constructor(limits: ConnectionLimits) {
    this.#limits = limits;
  }

  static create(limits: ConnectionLimits): OpenConnections {
    return new OpenConnections(limits);
  }

  add(socket: Socket): void {
    const { maxConnections, maxAgeMs, closesBusy } = this.#limits;
    if (this.#idle.size + this.#busy.size >= maxConnections) {
      const replaced = this.#choose(this.#idle) ??
        (closesBusy ? this.#choose(this.#busy.keys()) : undefined);
      this.#close(replaced ?? socket, "too_many_connections");
      if (!replaced) return;
    }
    const address = socket.remoteAddress ?? "";
    const count = this.#countByAddress.get(address) ?? 0;
    this.#countByAddress.set(address, count + 1);
    this.#idle.add(socket);
    const timer = maxAgeMs === undefined ? undefined : setTimeout(
      () => this.#close(socket, "connection_too_old"),
      maxAgeMs,
    );
    socket.once("close", () => {
      clearTimeout(timer);
      this.#forget(socket);
      const left = this.#countByAddress.get(address)! - 1;
      if (left === 0) this.#countByAddress.delete(address);
      else this.#countByAddress.set(address, left);
    });
  }

  closeAll(): void {
    for (const socket of [...this.#idle, ...this.#busy.keys()]) {
      socket.destroy();
    }
  }

  begin(socket: Socket): void {
    const requests = this.#busy.get(socket) ?? 0;
    if (requests === 0 && !this.#idle.delete(socket)) return;
    this.#busy.set(socket, requests + 1);
  }

  end(socket: Socket): void {
    const requests = this.#busy.get(socket);
    if (requests === undefined) return;
    if (requests > 1) {
      this.#busy.set(socket, requests - 1);
      return;
    }
    this.#busy.delete(socket);
    if (!socket.destroyed) this.#idle.add(socket);
  }

  #choose(sockets: Iterable<Socket>): Socket | undefined {
    let chosen: Socket | undefined;
    let mostOfAddress = 0;
    let compared = 0;
    for (const socket of sockets) {
      const address = socket.remoteAddress ?? "";
      const ofAddress = this.#countByAddress.get(address) ?? 1;
      if (ofAddress > mostOfAddress) {
        chosen = socket;
        mostOfAddress = ofAddress;
      }
      compared += 1;
      if (compared === COMPARED_CONNECTIONS) break;
    }
    return chosen;
  }

  #close(socket: Socket, cause: ClosedCause): void {
    this.#forget(socket);
    socket.destroy();
    this.#limits.onClosed(cause);
  }

  #forget(socket: Socket): void {
    this.#idle.delete(socket);
    this.#busy.delete(socket);
  }
}
