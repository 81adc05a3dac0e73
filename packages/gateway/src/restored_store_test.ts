import { setTimeout as delay } from "node:timers/promises";
import type { FleetStandin } from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  findFreePort,
  sendTo,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

/** Time within which gateways act on what the store acknowledged, in ms. */
const APPLY_MS = 2000;

/** Writes rows of no meaning, so that the store's version rises. */
function raiseVersion({ store }: FleetStandin, writes: number): void {
  for (let i = 0; i < writes; i += 1) store.put("other", "row", i);
}

// Gateways ignored the row of a draining replica whose version was lower.
test("a replica that drains after the store was restored gets no new requests", async (t) => {
  const fleet = await startFleet(t);
  const copy = fleet.store.version;
  const replicas = await Promise.all(
    ["i-1", "i-2"].map((id) => fleet.addReplica({ id, service: "desk" })),
  );
  raiseVersion(fleet, 500);
  for (const [i, replica] of replicas.entries()) {
    fleet.setReplicaRow(`i-${i + 1}`, replica.row());
  }
  const { send } = await startGateway(t, fleet);
  fleet.store.restore(copy);
  for (const [i, replica] of replicas.entries()) {
    fleet.setReplicaRow(`i-${i + 1}`, replica.row());
  }
  await delay(500);
  const [draining] = replicas;
  fleet.setReplicaRow("i-1", draining!.row("draining"));
  await delay(APPLY_MS);
  const before = draining!.executedRequests.length;
  for (let i = 0; i < 20; i += 1) t.is((await send("/look/")).status, 200);
  t.is(draining!.executedRequests.length, before);
});

// The change was not among those after the version that the gateways knew.
test("a configuration that is accepted right after a restore is active everywhere in time", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({ id: "i-1", service: "desk" });
  const copy = fleet.store.version;
  const { send } = await startGateway(t, fleet);
  raiseVersion(fleet, 50);
  await delay(300);
  // The calls that wait for a change go on, and its version is lower than theirs.
  fleet.store.restore(copy, { waitingCalls: "kept" });
  fleet.configure({ version: 2, keys: ["another"] });
  await delay(APPLY_MS);
  t.is((await send("/look/")).status, 401);
});

// A withdrawn key worked again at a gateway that read the copy first.
test("a gateway that starts before the operator has written the configuration again doesn't serve by the copy", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({ id: "i-1", service: "desk" });
  const copy = fleet.store.version;
  const port = await findFreePort();
  const first = await startGateway(t, fleet, { port });
  fleet.configure({ version: 5, keys: ["another"] });
  await waitFor(async () => (await first.send("/look/")).status === 401);
  // Time in which the restored store has the gateway's row again.
  fleet.store.restore(copy);
  await waitFor(() => fleet.store.keys("banyanspool_members").length === 1);
  const starting = startGateway(t, fleet, {
    host: "127.0.0.2",
    port,
    isFirstStart: false,
  });
  await delay(500);
  const early = await sendTo("127.0.0.2", port, "/look/");
  t.is(early.status, 503);
  fleet.configure({ version: 5, keys: ["another"] });
  const second = await starting;
  t.is((await second.send("/look/")).status, 401);
  t.is((await first.send("/look/")).status, 401);
});

// A gateway that started later didn't find the others for half a minute.
test("the row by which gateways find each other is written again after a restore", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({ id: "i-1", service: "desk" });
  const copy = fleet.store.version;
  await startGateway(t, fleet);
  const members = () => fleet.store.keys("banyanspool_members");
  await waitFor(() => members().length === 1);
  fleet.store.restore(copy);
  t.deepEqual(members(), []);
  await waitFor(() => members().length === 1);
});
