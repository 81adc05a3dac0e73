import { connect, createServer, type Socket } from "node:net";

/** A TCP relay that can lose track of its connections. */
export interface BlackholeProxy {
  /** Port that it listens on. */
  readonly port: number;
  /** Connections that it relays now. */
  readonly countConnections: () => number;
  /** Swallows all bytes of the connections that are open now. */
  readonly blackholeConnections: () => void;
  /** Swallows new connections too until it is called with false. */
  readonly setBlackhole: (isCut: boolean) => void;
  /** Stops it. */
  readonly close: () => void;
}

/** Starts a relay from a port of its own to another port on 127.0.0.1. */
export async function startBlackholeProxy(
  targetPort: number,
): Promise<BlackholeProxy> {
  const pairs = new Set<{ forgotten: boolean; a: Socket; b: Socket }>();
  let isCut = false;
  const server = createServer((a) => {
    const b = connect(targetPort, "127.0.0.1");
    const pair = { forgotten: isCut, a, b };
    pairs.add(pair);
    relay(a, b, pair);
    relay(b, a, pair);
    a.on("close", () => pairs.delete(pair));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    port: (server.address() as { port: number }).port,
    countConnections: () => pairs.size,
    blackholeConnections: () => {
      for (const pair of pairs) pair.forgotten = true;
    },
    setBlackhole: (cut) => {
      isCut = cut;
      if (!cut) return;
      for (const pair of pairs) pair.forgotten = true;
    },
    close: () => {
      for (const { a, b } of pairs) {
        a.destroy();
        b.destroy();
      }
      server.close();
    },
  };
}

function relay(from: Socket, to: Socket, pair: { forgotten: boolean }): void {
  from.on("data", (bytes) => {
    if (!pair.forgotten) to.write(bytes);
  });
  from.on("end", () => {
    if (!pair.forgotten) to.end();
  });
  from.on("error", () => to.destroy());
}
