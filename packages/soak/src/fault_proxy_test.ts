import { connect, createServer, type Socket } from "node:net";
import test, { type ExecutionContext } from "ava";
import { FaultProxy } from "./fault_proxy.ts";

/** Starts a server that sends back what it gets, behind a link. */
async function startEcho(t: ExecutionContext): Promise<FaultProxy> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const link = await FaultProxy.create(`127.0.0.1:${port}`);
  t.teardown(() => {
    link.close();
    server.close();
  });
  return link;
}

function open(t: ExecutionContext, link: FaultProxy): Socket {
  const socket = connect(link.port, "127.0.0.1");
  socket.on("error", () => {});
  t.teardown(() => socket.destroy());
  return socket;
}

function next(socket: Socket, event: "data" | "close"): Promise<string> {
  return new Promise((resolve) =>
    socket.once(event, (value: unknown) => resolve(String(value)))
  );
}

test("a healthy link passes bytes on, a reset one cuts them", async (t) => {
  const link = await startEcho(t);
  const socket = open(t, link);
  socket.write("a");
  t.is(await next(socket, "data"), "a");
  const closed = next(socket, "close");
  link.injectFault("reset");
  await closed;
  t.pass();
});

test("a connection that lost bytes stays silent, a new one works", async (t) => {
  const link = await startEcho(t);
  const torn = open(t, link);
  torn.write("a");
  await next(torn, "data");
  link.injectFault("oneWay");
  torn.write("b");
  await new Promise((resolve) => setTimeout(resolve, 100));
  link.clearFault();
  let heard = "";
  torn.on("data", (bytes) => heard += String(bytes));
  torn.write("c");
  const fresh = open(t, link);
  fresh.write("d");
  t.is(await next(fresh, "data"), "d");
  t.is(heard, "");
});
