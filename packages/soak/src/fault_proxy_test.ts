import { connect, createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { FaultProxy } from "./fault_proxy.ts";

/** Starts an echo server behind a proxy. */
async function startEchoServer(t: ExecutionContext): Promise<FaultProxy> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const proxy = await FaultProxy.create(`127.0.0.1:${port}`);
  t.teardown(() => {
    proxy.close();
    server.close();
  });
  return proxy;
}

function open(t: ExecutionContext, proxy: FaultProxy): Socket {
  const socket = connect(proxy.port, "127.0.0.1");
  socket.on("error", () => {});
  t.teardown(() => socket.destroy());
  return socket;
}

function next(socket: Socket, event: "data" | "close"): Promise<string> {
  return new Promise((resolve) =>
    socket.once(event, (value: unknown) => resolve(String(value)))
  );
}

test("a proxy forwards bytes, and a reset closes its connections", async (t) => {
  const proxy = await startEchoServer(t);
  const socket = open(t, proxy);
  socket.write("a");
  t.is(await next(socket, "data"), "a");
  const closed = next(socket, "close");
  proxy.injectFault("reset");
  await closed;
  t.pass();
});

test("a connection that lost bytes stays silent, and a new one works", async (t) => {
  const proxy = await startEchoServer(t);
  const silent = open(t, proxy);
  silent.write("a");
  await next(silent, "data");
  proxy.injectFault("oneWay");
  silent.write("b");
  await new Promise((resolve) => setTimeout(resolve, 100));
  proxy.clearFault();
  let received = "";
  silent.on("data", (bytes) => received += String(bytes));
  silent.write("c");
  const fresh = open(t, proxy);
  fresh.write("d");
  t.is(await next(fresh, "data"), "d");
  t.is(received, "");
});
