import type { ServerResponse } from "node:http";
import test from "ava";
import {
  chat,
  event,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

/** So long that a test fails at its own time-out first, in ms. */
const PATIENCE_MS = 60_000;

/** Resolves when the gateway has closed the connection of a response. */
function connectionClosed({ socket }: ServerResponse): Promise<void> {
  socket!.on("error", () => {});
  return new Promise((resolve) => socket!.once("close", () => resolve()));
}

const UNENDING_BODIES = {
  "a body without end": {},
  "a body that stalls inside its length": { "content-length": "100" },
};
const REJECTIONS = [
  { status: 503, headers: { "not-executed": "1" } },
  { status: 429, headers: { "not-executed": "1" } },
  { status: 421, headers: {} },
];

for (const [what, framing] of Object.entries(UNENDING_BODIES)) {
  for (const { status, headers } of REJECTIONS) {
    for (const target of ["/book/", "/chat/"]) {
      // Callers of such a request got no answer, and its connection stayed open.
      test(`a request to ${target} goes on after ${status} with ${what}`, async (t) => {
        const fleet = await startFleet(t, {
          timeoutMs: PATIENCE_MS,
          targetLatencyMs: PATIENCE_MS,
        });
        const closed: Promise<void>[] = [];
        let rejections = 0;
        const service = target === "/chat/" ? "pool" : "desk";
        for (const id of ["i-1", "i-2"]) {
          await fleet.addReplica({
            id,
            service,
            holds: ["m1"],
            answer: (_req, res) => {
              if (rejections > 0) {
                res.writeHead(200, { "content-type": "text/event-stream" });
                res.end(event(1));
                return;
              }
              rejections += 1;
              closed.push(connectionClosed(res));
              res.writeHead(status, { ...headers, ...framing });
              res.write("busy");
            },
          });
        }
        const { send } = await startGateway(t, fleet);
        const request = chat("m1");
        const res = await send(target, {
          ...request,
          headers: { ...request.headers, "deadline-ms": String(PATIENCE_MS) },
        });
        t.is(res.status, 200);
        t.is(rejections, 1);
        await Promise.all(closed);
      });
    }
  }
}

// The bodies of rejections were read to their end however long they were.
test("a rejection with a long body ends with its connection", async (t) => {
  const fleet = await startFleet(t);
  const chunk = Buffer.alloc(64 * 1024);
  let closed: Promise<void> | undefined;
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: async (_req, res) => {
      closed = connectionClosed(res);
      res.writeHead(503, { "not-executed": "1" });
      while (!res.destroyed) {
        res.write(chunk);
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  });
  const { send } = await startGateway(t, fleet);
  t.is((await send("/book/", { method: "POST", body: "x" })).status, 503);
  await closed;
});
