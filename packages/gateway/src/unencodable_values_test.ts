import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import {
  chat,
  event,
  findFreePort,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

/** Several report intervals, in ms. */
const REPORTS_MS = 500;

const ROW = {
  service: "nightly-batch",
  address: "127.0.0.1:9",
  zone: "north",
  version: "v1",
  slots: 1,
  state: "ready",
  seq: 1,
};

const ROWS_OF_ANOTHER_WRITER = {
  "a fractional seq": { seq: 1764936000.25 },
  "a seq beyond 64 bits": { seq: 2 ** 64 },
  "a negative seq": { seq: -1 },
  "fractional slots": { slots: 2.5 },
  "slots beyond 32 bits": { slots: 2 ** 32 },
  "a negative start": { born: -1 },
  "an address that is no IP address": { address: "999.0.0.1:80" },
  "a port that doesn't exist": { address: "127.0.0.1:99999" },
};

for (const [what, fields] of Object.entries(ROWS_OF_ANOTHER_WRITER)) {
  // Gateways ended, again and again, when they encoded such a row for others.
  test(`a row with ${what} doesn't end gateways`, async (t) => {
    const fleet = await startFleet(t);
    await fleet.addReplica({ id: "i-1", service: "desk" });
    const port = await findFreePort();
    const { send } = await startGateway(t, fleet, { port });
    await startGateway(t, fleet, { host: "127.0.0.2", port });
    fleet.setReplicaRow("batch-1", { ...ROW, ...fields });
    await delay(REPORTS_MS);
    t.is((await send("/look/")).status, 200);
  });
}

// Gateways ended when they encoded the load of such a request for others.
test("a request with a very large number of tokens doesn't end gateways", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
    answer: async (_req, res) => {
      await delay(REPORTS_MS);
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1));
    },
  });
  const port = await findFreePort();
  const { send } = await startGateway(t, fleet, { port });
  await startGateway(t, fleet, { host: "127.0.0.2", port });
  const large = chat("m1");
  const usages = ["800,4294967295", "999999999999,999999999999"];
  await Promise.all(usages.map((usage) =>
    send("/chat/", {
      ...large,
      headers: { ...large.headers, "token-usage": usage },
    })
  ));
  t.is((await send("/chat/", chat("m1"))).status, 200);
});
