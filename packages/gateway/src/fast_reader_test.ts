import { setTimeout as delay } from "node:timers/promises";
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
const RUNNING_MS = 8000;
const MEMORY_BYTES = 1024 * 1024;
/** Eight of them, with their heads, take somewhat over three quarters. */
const BODY = "x".repeat(93_000);
const ANSWER_BYTES = 600_000;

// Each answer was reset, as a piece of it counted before it could be sent.
test("a caller that reads at once gets its answers while bodies fill the memory", async (t) => {
  const fleet = await startFleet(t, {
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: PATIENCE_MS,
  });
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (req, res) => {
      if (req.method === "POST") setTimeout(() => res.end("ok"), RUNNING_MS);
      else res.end(Buffer.alloc(ANSWER_BYTES, "x"));
    },
  });
  const port = await findFreePort();
  const { send } = await startGateway(t, fleet, { port, callerMemoryMb: 1 });
  const held = async () => {
    const { body } = await sendTo("127.0.0.1", port + 3, "/metrics");
    const line = body.split("\n").find((line) =>
      line.startsWith("banyanspool_gateway_caller_bytes ")
    );
    return Number(line?.split(" ").at(-1) ?? 0);
  };
  const posts = Array.from(
    { length: 8 },
    () => send("/book/", { method: "POST", body: BODY }),
  );
  await waitFor(async () => await held() > 0.75 * MEMORY_BYTES);
  await delay(300);
  for (let i = 0; i < 5; i += 1) {
    const { status, body } = await send("/look/");
    t.deepEqual([status, body.length], [200, ANSWER_BYTES]);
  }
  t.true(await held() > 0.75 * MEMORY_BYTES);
  for (const { status } of await Promise.all(posts)) t.is(status, 200);
});
