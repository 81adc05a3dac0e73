import { request } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import {
  STANDIN_HOST,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  findFreePort,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const ANSWER = Buffer.alloc(16 * 1024 * 1024, "x");
/** So long that no request ends by itself, in ms. */
const PATIENCE_MS = 90_000;
/** Beyond the time without progress after which a body is ended, in ms. */
const SLOW_MS = 25_000;
/** Time between two reads of at most 64 KiB, in ms. */
const PAUSE_MS = 1600;

// It was cut off, as progress is seen only when much of the system's buffer is
// sent.
test("a caller that reads a long answer slowly gets all of it", async (t) => {
  t.timeout(PATIENCE_MS);
  const fleet = await startFleet(t, {
    timeoutMs: PATIENCE_MS,
    targetLatencyMs: PATIENCE_MS,
  });
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (_req, res) => void res.end(ANSWER),
  });
  const port = await findFreePort();
  await startGateway(t, fleet, { port });
  const slowUntil = performance.now() + SLOW_MS;
  const bytes = await new Promise<number>((resolve, reject) => {
    const req = request({
      host: "127.0.0.1",
      port,
      path: "/look/",
      headers: {
        host: STANDIN_HOST,
        "request-id": "slow-1",
        authorization: `Bearer ${STANDIN_KEY}`,
      },
    }, async (res) => {
      let received = 0;
      try {
        for await (const piece of res) {
          received += (piece as Buffer).length;
          if (performance.now() < slowUntil) await delay(PAUSE_MS);
        }
      } catch {
        // The answer ended early.
      }
      resolve(received);
    });
    req.once("error", reject);
    req.end();
  });
  t.is(bytes, ANSWER.length);
});
