import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import {
  STANDIN_HOST,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  findFreePort,
  sendTo,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

/** So long that no request ends by itself, in ms. */
const PATIENCE_MS = 60_000;
const ANSWER = Buffer.alloc(12 * 1024 * 1024, "x");
const CLIENTS = 8;
/** In which answers fill what may be held of them, in ms. */
const SETTLE_MS = 1500;
const HEAD = [
  "GET /look/ HTTP/1.1",
  `Host: ${STANDIN_HOST}`,
  "Request-Id: unread",
  `Authorization: Bearer ${STANDIN_KEY}`,
  "Connection: close",
  "",
  "",
].join("\r\n");

// What callers didn't read was bounded for each connection alone.
test("answers that many callers don't read are cut off when memory is short", async (t) => {
  const fleet = await startFleet(t, {
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: PATIENCE_MS,
  });
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (req, res) => {
      const isUnread = req.headers["request-id"] === "unread";
      res.end(isUnread ? ANSWER : "ok");
    },
  });
  const port = await findFreePort();
  const { send } = await startGateway(t, fleet, { port, callerMemoryMb: 1 });
  const metric = async (name: string) => {
    const { body } = await sendTo("127.0.0.1", port + 3, "/metrics");
    const line = body.split("\n").find((line) => line.startsWith(name));
    return Number(line?.split(" ").at(-1) ?? 0);
  };
  const sockets = Array.from({ length: CLIENTS }, () => {
    const socket = connect({ host: "127.0.0.1", port });
    t.teardown(() => socket.destroy());
    socket.write(HEAD);
    return socket.pause();
  });
  const cut = 'banyanspool_gateway_caller_limits_total{cause="unread"}';
  await waitFor(async () => await metric(cut) > 0);
  await delay(SETTLE_MS);
  const held = await metric("banyanspool_gateway_unread_bytes");
  t.true(held > 0 && held <= 1024 * 1024, `${held} bytes`);
  t.is((await send("/look/")).status, 200);
  const received = await Promise.all(sockets.map((socket) => {
    let bytes = 0;
    socket.on("error", () => {});
    socket.on("data", (piece) => bytes += piece.length);
    socket.resume();
    return new Promise<number>((resolve) => {
      socket.once("close", () => resolve(bytes));
    });
  }));
  const whole = received.filter((bytes) => bytes > ANSWER.length);
  t.is(received.length - whole.length, await metric(cut));
  t.true(whole.length > 0);
});
