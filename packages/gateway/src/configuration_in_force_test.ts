import { setTimeout as delay } from "node:timers/promises";
import type { FleetStandin } from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  findFreePort,
  type RunningGateway,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

/** Time within which gateways act on what the store acknowledged, in ms. */
const APPLY_MS = 3000;
/** Time between what happens to the store and the next change, in ms. */
const PAUSE_MS = 500;
const POLL_MS = 50;
const GATEWAYS = 10;

async function startGateways(
  t: import("ava").ExecutionContext,
  fleet: FleetStandin,
): Promise<RunningGateway[]> {
  await fleet.addReplica({ id: "i-1", service: "desk" });
  const port = await findFreePort();
  const gateways = await Promise.all(
    Array.from(
      { length: GATEWAYS },
      (_, i) => startGateway(t, fleet, { host: `127.0.0.${i + 1}`, port }),
    ),
  );
  // All of them have a call that waits for a change.
  await waitFor(() => fleet.store.waiting === GATEWAYS);
  return gateways;
}

/** Statuses once the key is refused by all, or after the time allowed. */
async function statusesInTime(gateways: readonly RunningGateway[]) {
  const endAt = performance.now() + APPLY_MS;
  while (true) {
    const responses = await Promise.all(
      gateways.map(({ send }) => send("/look/")),
    );
    const statuses = responses.map(({ status }) => status);
    if (statuses.every((status) => status === 401)) return statuses;
    if (performance.now() > endAt) return statuses;
    await delay(POLL_MS);
  }
}

const REFUSED = Array.from({ length: GATEWAYS }, () => 401);

// The calls were ended by nothing but their time-out, which grew with the fleet.
test("a key that is withdrawn after a restore is refused by all gateways in time, though their waiting calls go on", async (t) => {
  const fleet = await startFleet(t);
  const copy = fleet.store.version;
  const gateways = await startGateways(t, fleet);
  for (let i = 0; i < 50; i += 1) fleet.store.put("other", "row", i);
  fleet.configure({ version: 2 });
  await delay(PAUSE_MS);
  fleet.store.restore(copy, { waitingCalls: "kept" });
  fleet.configure({ version: 2 });
  await delay(PAUSE_MS);
  fleet.configure({ version: 3, keys: ["another"] });
  t.deepEqual(await statusesInTime(gateways), REFUSED);
});

// All calls had begun at the same change, so that they ended at the same time.
test("a key that is withdrawn after all connections to the store have gone silent is refused by all gateways in time", async (t) => {
  const fleet = await startFleet(t);
  const gateways = await startGateways(t, fleet);
  fleet.configure({ version: 2 });
  await delay(PAUSE_MS);
  fleet.store.silenceConnections();
  fleet.configure({ version: 3, keys: ["another"] });
  t.deepEqual(await statusesInTime(gateways), REFUSED);
});
