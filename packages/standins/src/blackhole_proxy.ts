import { connect, createServer, type Socket } from "node:net";

/**
 * A TCP proxy that can drop all bytes of a connection and keep it open, like a
 * firewall that has lost the connection's state.
 */
export interface BlackholeProxy {
  /** Port that it listens on. */
  readonly port: number;
  /** Returns the number of open connections. */
  readonly countConnections: () => number;
  /** Drops all further bytes of the connections that are open now. */
  readonly blackholeConnections: () => void;
  /**
   * If `isOn` is true, drops the bytes of open and new connections. If it is
   * false, forwards the bytes of connections that are opened later.
   */
  readonly setBlackhole: (isOn: boolean) => void;
  /** Closes all connections and stops listening. */
  readonly close: () => void;
}

/** Starts a proxy from a free port to another port on 127.0.0.1. */
export async function startBlackholeProxy(
  targetPort: number,
): Promise<BlackholeProxy> {
  const connections = new Set<
    { isBlackholed: boolean; client: Socket; upstream: Socket }
  >();
  let dropsNew = false;
  const server = createServer((client) => {
    const upstream = connect(targetPort, "127.0.0.1");
    const connection = { isBlackholed: dropsNew, client, upstream };
    connections.add(connection);
    relay(client, upstream, connection);
    relay(upstream, client, connection);
    client.on("close", () => connections.delete(connection));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as { port: number }).port,
    countConnections: () => connections.size,
    blackholeConnections: () => {
      for (const connection of connections) connection.isBlackholed = true;
    },
    setBlackhole: (isOn) => {
      dropsNew = isOn;
      if (!isOn) return;
      for (const connection of connections) connection.isBlackholed = true;
    },
    close: () => {
      for (const { client, upstream } of connections) {
        client.destroy();
        upstream.destroy();
      }
      server.close();
    },
  };
}

function relay(
  from: Socket,
  to: Socket,
  connection: { isBlackholed: boolean },
): void {
  from.on("data", (bytes) => {
    if (!connection.isBlackholed) to.write(bytes);
  });
  from.on("end", () => {
    if (!connection.isBlackholed) to.end();
  });
  from.on("error", () => to.destroy());
}
