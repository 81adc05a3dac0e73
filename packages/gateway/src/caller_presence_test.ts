import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect } from "node:net";
import test, { type ExecutionContext } from "ava";
import { isCallerPresent } from "./caller_presence.ts";

const STALL_MS = 120;

function stall(): void {
  const until = performance.now() + STALL_MS;
  while (performance.now() < until);
}

async function receiveRequest(t: ExecutionContext) {
  const server = createServer();
  t.teardown(() => server.close());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  caller.on("error", () => {});
  t.teardown(() => caller.destroy());
  caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
  const [req, res] = await once(server, "request") as [
    IncomingMessage,
    ServerResponse,
  ];
  for await (const _ of req);
  const controller = new AbortController();
  res.once("close", () => controller.abort());
  return { caller, scope: { req, res, signal: controller.signal } };
}

test("a caller that left during a stall is noticed before its request is sent", async (t) => {
  const { caller, scope } = await receiveRequest(t);
  await new Promise<void>((resolve) => setTimeout(resolve, 20));
  const { seemedPresent, isPresent } = await new Promise<
    { seemedPresent: boolean; isPresent: boolean }
  >((resolve) => {
    setTimeout(async () => {
      const seemedPresent = !scope.signal.aborted && !scope.res.destroyed;
      resolve({ seemedPresent, isPresent: await isCallerPresent(scope) });
    }, STALL_MS / 2);
    setImmediate(() => {
      caller.destroy();
      stall();
    });
  });
  t.true(seemedPresent, "the timer runs before the close is read");
  t.false(isPresent);
});

// Its request was sent, as the close behind it was read only in the next poll.
test("a caller whose request and close are read together isn't present", async (t) => {
  const server = createServer();
  t.teardown(() => server.close());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  await once(server, "connection");
  const received = once(server, "request");
  caller.end("GET / HTTP/1.1\r\nHost: a\r\n\r\n", () => caller.destroy());
  setImmediate(stall);
  const [req, res] = await received as [IncomingMessage, ServerResponse];
  const controller = new AbortController();
  res.once("close", () => controller.abort());
  t.false(await isCallerPresent({ req, res, signal: controller.signal }));
});

test("a caller that waits is present", async (t) => {
  const { scope } = await receiveRequest(t);
  t.true(await isCallerPresent(scope));
});
