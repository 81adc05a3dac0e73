import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  STANDIN_HOST,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import test, { type ExecutionContext } from "ava";
import {
  findFreePort,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

/** So long that no request ends by itself, in ms. */
const PATIENCE_MS = 60_000;
/** More than are served at a time on a connection. */
const REQUESTS = 80;
const MAX_REQUESTS_AHEAD = 64;
const SMALL_CROWD = 10;
/** Well before the time without progress after which a request is ended. */
const MAX_LEAVE_MS = 5000;
/** In which requests that were sent are read, in ms. */
const SETTLE_MS = 500;
/** Beyond the time without progress after which a request is ended, in ms. */
const WORK_MS = 12_000;

function heads(prefix: string, count: number): string {
  return Array.from({ length: count }, (_, i) =>
    [
      "GET /look/ HTTP/1.1",
      `Host: ${STANDIN_HOST}`,
      `Request-Id: ${prefix}-${i}`,
      `Authorization: Bearer ${STANDIN_KEY}`,
      "",
      "",
    ].join("\r\n")).join("");
}

/** Starts a gateway with one replica, whose requests end after a time. */
async function start(
  t: ExecutionContext,
  workMs: number,
  callerMemoryMb?: number,
) {
  const fleet = await startFleet(t, {
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: PATIENCE_MS,
  });
  const replica = { working: 0, ids: new Set<string>() };
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (req, res) => {
      const id = String(req.headers["request-id"]);
      replica.working += 1;
      replica.ids.add(id);
      const timer = setTimeout(() => res.end("ok"), workMs);
      res.once("close", () => {
        replica.working -= 1;
        replica.ids.delete(id);
        clearTimeout(timer);
      });
    },
  });
  const port = await findFreePort();
  const { send } = await startGateway(t, fleet, { port, callerMemoryMb });
  const socket = connect({ host: "127.0.0.1", port });
  socket.on("error", () => {});
  t.teardown(() => socket.destroy());
  return { socket, replica, port, send };
}

// A connection that isn't read didn't tell that its caller had left.
test("a caller that leaves while its requests wait is noticed", async (t) => {
  const { socket, replica } = await start(t, PATIENCE_MS);
  socket.write(heads("first", REQUESTS));
  await waitFor(() => replica.working > 0);
  socket.end(heads("later", 1));
  const leftAt = performance.now();
  await waitFor(() => replica.working === 0);
  t.true(performance.now() - leftAt < MAX_LEAVE_MS);
});

// Requests that waited counted as stalled, and their connection was closed.
test("requests that wait for slow ones before them are answered", async (t) => {
  const { socket } = await start(t, WORK_MS);
  let answers = 0;
  let isClosed = false;
  socket.on("data", (bytes) => {
    answers += bytes.toString().split("HTTP/1.1 200").length - 1;
  });
  socket.once("close", () => isClosed = true);
  socket.write(heads("first", REQUESTS));
  await delay(WORK_MS / 2);
  socket.write(heads("held", 1));
  await delay(WORK_MS / 2);
  await waitFor(() => answers >= MAX_REQUESTS_AHEAD || isClosed);
  t.true(answers >= MAX_REQUESTS_AHEAD);
  await delay(WORK_MS);
  await waitFor(() => answers === REQUESTS + 1 || isClosed);
  t.is(answers, REQUESTS + 1);
});

// It was refused as one whose deadline had passed.
test("a request without a body is refused when others hold all memory", async (t) => {
  const { replica, port, send } = await start(t, PATIENCE_MS, 1);
  for (let i = 0; i < 4; i += 1) {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    t.teardown(() => socket.destroy());
    socket.write(heads(`crowd-${i}`, MAX_REQUESTS_AHEAD));
  }
  await waitFor(() => replica.working > 0);
  await delay(SETTLE_MS);
  const res = await send("/look/", { headers: { "deadline-ms": "2000" } });
  t.is(res.status, 503);
  t.regex(res.body, /memory/);
});

// Heads of several connections were evicted before the first of them had closed,
// and all their requests ended.
test("a connection whose waiting heads are evicted ends with its requests in flight", async (t) => {
  const { socket: first, replica, port, send } = await start(t, PATIENCE_MS, 1);
  const open = () => {
    const socket = connect({ host: "127.0.0.1", port });
    socket.on("error", () => {});
    t.teardown(() => socket.destroy());
    return socket;
  };
  const second = open();
  const third = open();
  const closed: Socket[] = [];
  for (const socket of [first, second, third]) {
    socket.resume();
    socket.once("close", () => closed.push(socket));
  }
  const isWorking = (prefix: string) =>
    [...replica.ids].some((id) => id.startsWith(prefix));
  first.write(heads("first", REQUESTS));
  second.write(heads("second", REQUESTS));
  await waitFor(() => isWorking("first") && isWorking("second"));
  await delay(SETTLE_MS);
  t.deepEqual(closed, []);
  // More than the memory holds; those in flight aren't evicted.
  third.write(heads("third", SMALL_CROWD));
  await waitFor(() => closed.length > 0);
  const [ended, other] = closed[0] === first
    ? ["first", "second"]
    : ["second", "first"];
  await waitFor(() => !isWorking(ended!));
  t.is(closed.length, 1);
  t.true(isWorking(other!));
  const res = await send("/none/");
  t.is(res.status, 404);
});
