import { connect, createServer, type Server, type Socket } from "node:net";
import { once } from "node:events";
import test from "ava";
import { type ClosedCause, limitConnections } from "./connection_limits.ts";

function open(server: Server, localAddress: string): Promise<Socket> {
  const { port } = server.address() as { port: number };
  const socket = connect({ host: "127.0.0.1", port, localAddress });
  socket.on("error", () => {});
  return once(socket, "connect").then(() => socket);
}

test("a crowd of one address closes its own connections, not another's", async (t) => {
  const causes: ClosedCause[] = [];
  const server = createServer();
  const connections = limitConnections(server, {
    maxConnections: 4,
    closesBusy: true,
    onClosed: (cause) => causes.push(cause),
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => {
    server.close();
    connections.closeAll();
  });
  const balancer = await open(server, "127.0.0.2");
  const crowd: Socket[] = [];
  for (let i = 0; i < 8; i += 1) crowd.push(await open(server, "127.0.0.3"));
  crowd.slice(0, 5).forEach((socket) => socket.resume());
  await Promise.all(
    crowd.slice(0, 5).map((socket) => socket.closed || once(socket, "close")),
  );
  t.deepEqual(causes, Array(5).fill("too_many_connections"));
  t.false(balancer.closed);
  balancer.destroy();
  for (const socket of crowd) socket.destroy();
});
