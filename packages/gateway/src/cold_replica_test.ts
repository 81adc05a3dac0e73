import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import {
  type CallerResponse,
  findFreePort,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const COLD_PER_S = 8;
const COLD_START_MS = 2500;
const ALLOWED = 1.5 * COLD_PER_S + 5;
const GATEWAYS = 4;
const INTERVAL_MS = 10;

// The idle replica got all requests from the moment that it was listed.
test("a replica that starts during traffic gets what it takes while cold, and its share afterwards", async (t) => {
  const fleet = await startFleet(t, {
    coldPerS: COLD_PER_S,
    coldStartS: COLD_START_MS / 1000,
  });
  await fleet.addReplica({ id: "i-1", service: "desk" });
  const port = await findFreePort();
  const gateways = await Promise.all(
    Array.from(
      { length: GATEWAYS },
      (_, i) => startGateway(t, fleet, { host: `127.0.0.${i + 1}`, port }),
    ),
  );
  // Time in which the gateways find each other.
  await delay(2500);
  const arrivals: number[] = [];
  const startedAt = performance.now();
  await fleet.addReplica({
    id: "i-2",
    service: "desk",
    answer: (_req, res) => {
      arrivals.push(performance.now() - startedAt);
      res.end("ok");
    },
  });
  const responses: Promise<CallerResponse>[] = [];
  while (performance.now() - startedAt < COLD_START_MS + 3000) {
    const gateway = gateways[responses.length % GATEWAYS]!;
    responses.push(gateway.send("/look/"));
    await delay(INTERVAL_MS);
  }
  const statuses = (await Promise.all(responses)).map(({ status }) => status);
  t.true(statuses.every((status) => status === 200));
  const whileCold = arrivals.filter((at) => at < COLD_START_MS);
  const counts = whileCold.map((from) =>
    whileCold.filter((at) => at >= from && at < from + 1000).length
  );
  t.true(counts.length > 0, "it is warmed by requests");
  t.true(Math.max(...counts) <= ALLOWED, `${Math.max(...counts)} in a second`);
  const afterwards = arrivals.filter((at) => at > COLD_START_MS + 2000);
  t.true(afterwards.length > ALLOWED, `${afterwards.length} once it is warm`);
});
