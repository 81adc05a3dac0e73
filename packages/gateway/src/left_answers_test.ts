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
const ROUNDS = 3;
/** In which both answers reach the gateway, in ms. */
const SETTLE_MS = 1500;
/** Longer than the time between two looks at what is held, in ms. */
const SWEEP_MS = 600;

function headOf(id: string): string {
  return [
    "GET /look/ HTTP/1.1",
    `Host: ${STANDIN_HOST}`,
    `Request-Id: ${id}`,
    `Authorization: Bearer ${STANDIN_KEY}`,
    "",
    "",
  ].join("\r\n");
}

// What was held of the second answer was counted for ever.
test("callers that leave with two unread answers leave nothing held", async (t) => {
  const fleet = await startFleet(t, {
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: PATIENCE_MS,
  });
  const answers: Record<string, Buffer> = {
    first: Buffer.alloc(12 * 1024 * 1024, "x"),
    second: Buffer.alloc(400_000, "x"),
  };
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (req, res) => {
      res.end(answers[String(req.headers["request-id"])] ?? "ok");
    },
  });
  const port = await findFreePort();
  const { send } = await startGateway(t, fleet, { port, callerMemoryMb: 100 });
  const metric = async (name: string) => {
    const { body } = await sendTo("127.0.0.1", port + 3, "/metrics");
    const line = body.split("\n").find((line) => line.startsWith(name));
    return Number(line?.split(" ").at(-1) ?? 0);
  };
  for (let round = 0; round < ROUNDS; round++) {
    const socket = connect({ host: "127.0.0.1", port }).pause();
    socket.on("error", () => {});
    socket.write(headOf("first") + headOf("second"));
    await waitFor(async () =>
      await metric("banyanspool_gateway_unread_bytes") > 0
    );
    await delay(SETTLE_MS);
    socket.destroy();
    await delay(SWEEP_MS);
  }
  t.is((await send("/look/")).status, 200);
  await delay(SWEEP_MS);
  t.is(await metric("banyanspool_gateway_caller_bytes"), 0);
  t.is(await metric("banyanspool_gateway_unread_bytes"), 0);
});
