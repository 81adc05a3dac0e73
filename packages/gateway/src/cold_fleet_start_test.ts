import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import {
  findFreePort,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

/** Longest wait for a first permit of a gateway that doesn't settle, in ms. */
const FIRST_PERMIT_MS = 1200;

// After a loss of power all callers were refused for two seconds.
test("a gateway that returns to a fleet of cold replicas serves before it has settled", async (t) => {
  const fleet = await startFleet(t, { coldPerS: 8, coldStartS: 30 });
  const replica = await fleet.addReplica({ id: "i-1", service: "desk" });
  replica.coldLeftMs = 30_000;
  fleet.store.put("servers", "i-1", replica.row());
  const port = await findFreePort();
  const before = await startGateway(t, fleet, { port });
  await delay(500);
  await before.gateway.closeNow();
  const { send } = await startGateway(t, fleet, { port, isFirstStart: false });
  const readyAt = performance.now();
  await waitFor(async () => (await send("/look/")).status === 200);
  const tookMs = performance.now() - readyAt;
  t.true(tookMs < FIRST_PERMIT_MS, `${Math.round(tookMs)} ms`);
});
