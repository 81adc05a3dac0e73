import { connect, createServer, type Server, type Socket } from "node:net";
import type { LinkFault } from "./schedule.ts";

/** Added to each piece on a slow link, in ms. */
const DELAY_MS = 250;

interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  /** Set once bytes were swallowed: the rest could not be told from a gap. */
  isTorn: boolean;
}

/** A relay on the loopback address that can be disturbed. */
export class FaultProxy {
  readonly #server: Server;
  readonly #connections: Set<Connection> = new Set();
  #target: string;
  #fault: LinkFault | undefined;

  private constructor(target: string) {
    this.#target = target;
    this.#server = createServer((near) => this.#open(near));
  }

  /** Starts a relay to an address on a port of its own. */
  static async create(target: string): Promise<FaultProxy> {
    const link = new FaultProxy(target);
    await new Promise<void>((resolve) => {
      link.#server.listen(0, "127.0.0.1", resolve);
    });
    return link;
  }

  /** Port that it listens on. */
  get port(): number {
    return (this.#server.address() as { port: number }).port;
  }

  /** Sends new connections to another address; open ones are reset. */
  retarget(target: string): void {
    this.#target = target;
    this.#resetAll();
  }

  /** Disturbs it until it is healed. */
  injectFault(fault: LinkFault): void {
    this.#fault = fault;
    if (fault === "reset") this.#resetAll();
  }

  /** Ends a disturbance. */
  clearFault(): void {
    this.#fault = undefined;
  }

  /** Stops it. */
  close(): void {
    this.#resetAll();
    this.#server.close();
  }

  #resetAll(): void {
    for (const { near, far } of this.#connections) {
      near.resetAndDestroy();
      far.resetAndDestroy();
    }
    this.#connections.clear();
  }

  #open(near: Socket): void {
    const [host = "", port = ""] = this.#target.split(":");
    const far = connect(Number(port), host);
    const connection = { near, far, isTorn: false };
    this.#connections.add(connection);
    near.on("close", () => this.#connections.delete(connection));
    this.#relay(connection, near, far);
    this.#relay(connection, far, near);
  }

  #relay(connection: Connection, from: Socket, to: Socket): void {
    let last = Promise.resolve();
    from.on("data", (bytes) => {
      if (this.#swallows(connection, from)) {
        connection.isTorn = true;
        return;
      }
      if (this.#fault !== "delay") {
        last = last.then(() => void to.write(bytes));
        return;
      }
      last = last
        .then(() => new Promise((resolve) => setTimeout(resolve, DELAY_MS)))
        .then(() => void to.write(bytes));
    });
    from.on("end", () => {
      if (connection.isTorn) return;
      last = last.then(() => void to.end());
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      if (!connection.isTorn) last = last.then(() => void to.destroySoon());
    });
  }

  /** A connection that has lost bytes stays silent for good. */
  #swallows(connection: Connection, from: Socket): boolean {
    if (connection.isTorn) return true;
    if (this.#fault === "silent") return true;
    return this.#fault === "oneWay" && from === connection.far;
  }
}
