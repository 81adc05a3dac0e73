import { connect, createServer, type Server, type Socket } from "node:net";
import type { LinkFault } from "./schedule.ts";

/** Latency that the `delay` fault adds to each chunk, in ms. */
const DELAY_MS = 250;

interface Connection {
  readonly client: Socket;
  readonly upstream: Socket;
  /**
   * Set once bytes were dropped. Later bytes are dropped too, because the peer
   * would read them as if they followed the bytes before the gap.
   */
  isLossy: boolean;
}

/** TCP proxy on the loopback address that injects network faults. */
export class FaultProxy {
  readonly #server: Server;
  readonly #connections: Set<Connection> = new Set();
  #target: string;
  #port = 0;
  #fault: LinkFault | undefined;

  private constructor(target: string) {
    this.#target = target;
    this.#server = createServer((client) => this.#forward(client));
  }

  /** Starts a proxy to an address (`host:port`) on a free port. */
  static async create(target: string): Promise<FaultProxy> {
    const link = new FaultProxy(target);
    await new Promise<void>((resolve) => {
      link.#server.listen(0, "127.0.0.1", resolve);
    });
    link.#port = (link.#server.address() as { port: number }).port;
    return link;
  }

  /** Port that the proxy listens on. */
  get port(): number {
    return this.#port;
  }

  /** Forwards new connections to another address; resets open ones. */
  retarget(target: string): void {
    this.#target = target;
    this.#resetAll();
  }

  /** Applies a fault to all connections until it is cleared. */
  injectFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === "reset") this.#resetAll();
  }

  /** Ends the fault; connections that lost bytes stay silent. */
  clearFault(): void {
    this.#fault = undefined;
  }

  /** Resets all connections and refuses new ones, until `accept` is called. */
  async refuse(): Promise<void> {
    this.#resetAll();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  /** Accepts connections again. */
  async accept(): Promise<void> {
    const { port } = this;
    await new Promise<void>((resolve) => {
      this.#server.listen(port, "127.0.0.1", resolve);
    });
  }

  /** Resets all connections and stops listening. */
  close(): void {
    this.#resetAll();
    this.#server.close();
  }

  #resetAll(): void {
    for (const { client, upstream } of this.#connections) {
      client.resetAndDestroy();
      upstream.resetAndDestroy();
    }
    this.#connections.clear();
  }

  #forward(client: Socket): void {
    const [host = "", port = ""] = this.#target.split(":");
    const upstream = connect(Number(port), host);
    const connection = { client, upstream, isLossy: false };
    this.#connections.add(connection);
    client.on("close", () => this.#connections.delete(connection));
    this.#relay(connection, client, upstream);
    this.#relay(connection, upstream, client);
  }

  #relay(connection: Connection, from: Socket, to: Socket): void {
    let queue = Promise.resolve();
    from.on("data", (bytes) => {
      if (this.#drops(connection, from)) {
        connection.isLossy = true;
        return;
      }
      if (this.#fault !== "delay") {
        queue = queue.then(() => void to.write(bytes));
        return;
      }
      queue = queue
        .then(() => new Promise((resolve) => setTimeout(resolve, DELAY_MS)))
        .then(() => void to.write(bytes));
    });
    from.on("end", () => {
      if (connection.isLossy) return;
      queue = queue.then(() => void to.end());
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      if (!connection.isLossy) queue = queue.then(() => void to.destroySoon());
    });
  }

  /** Whether bytes are dropped; a connection that lost some loses the rest. */
  #drops(connection: Connection, from: Socket): boolean {
    if (connection.isLossy) return true;
    if (this.#fault === "silent") return true;
    return this.#fault === "oneWay" && from === connection.upstream;
  }
}
