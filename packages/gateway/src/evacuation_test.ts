import { setTimeout as delay } from "node:timers/promises";
import type { ReplicaHandler } from "@banyanspool/platform-adapter/testing";
import test from "ava";
import {
  chat,
  event,
  findFreePort,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

const evacuate = "evacuate/south";
const answer: ReplicaHandler = (_req, res) => {
  res.writeHead(200, { "content-type": "text/event-stream" });
  res.end(event(1) + event(2));
};

test("no request goes to an evacuated data centre until it is taken back", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({ id: "i-1", service: "desk", zone: "south" });
  const { send } = await startGateway(t, fleet);
  t.is((await send("/look/")).status, 200);
  fleet.store.put("op", evacuate, {});
  await waitFor(async () => (await send("/look/")).status === 503);
  const refused = await send("/book/", { method: "POST", body: "{}" });
  const { error } = JSON.parse(refused.body);
  t.like(error, { code: "no_allowed_replica", ran: "no" });
  t.truthy(refused.headers["retry-after"]);
  fleet.store.remove("op", evacuate);
  await waitFor(async () => (await send("/look/")).status === 200);
});

test("a gateway that restarts while the store is deaf obeys, and one that is cut off learns from it", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({ id: "i-1", service: "desk", zone: "south" });
  const port = await findFreePort();
  const first = await startGateway(t, fleet, { host: "127.0.0.1", port });
  fleet.store.fault = "deaf";
  fleet.store.put("op", evacuate, "a value that isn't read");
  const second = await startGateway(t, fleet, {
    host: "127.0.0.2",
    port,
    isFirstStart: false,
  });
  t.is((await second.send("/look/")).status, 503);
  fleet.store.fault = "silent";
  await waitFor(async () => (await first.send("/look/")).status === 503);
});

// Its callers would have been refused until the evacuation ended.
test("a model that only the evacuated data centre holds is loaded elsewhere", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({
    id: "i-1",
    service: "pool",
    zone: "south",
    holds: ["m1"],
    answer,
  });
  await fleet.addReplica({ id: "i-2", service: "pool", holds: [], answer });
  const { send } = await startGateway(t, fleet);
  t.is((await send("/draft/", chat("m1"))).status, 200);
  fleet.store.put("op", evacuate, {});
  await delay(100);
  await waitFor(async () => (await send("/draft/", chat("m1"))).status === 200);
});

test("requests of an organisation go only to the regions that it allows", async (t) => {
  const fleet = await startFleet(t, { allowedRegions: ["region of north"] });
  await fleet.addReplica({ id: "i-1", service: "desk", zone: "south" });
  const { send } = await startGateway(t, fleet, {
    regions: { north: "region of north", south: "region of south" },
  });
  const { status, body } = await send("/look/");
  t.is(status, 503);
  t.is(JSON.parse(body).error.code, "no_allowed_replica");
  t.is((await send("/open/")).status, 200, "no key, no organisation");
  await fleet.addReplica({ id: "i-2", service: "desk", zone: "north" });
  await waitFor(async () => (await send("/look/")).status === 200);
});

// The model counted as resident, and its callers were refused for good.
test("a model that is resident only outside the allowed regions is loaded inside, whichever gateway has the requests", async (t) => {
  const fleet = await startFleet(t, { allowedRegions: ["region of north"] });
  const south = { id: "i-1", service: "pool", zone: "south", holds: ["m1"] };
  let wrong = 0;
  await fleet.addReplica({
    ...south,
    answer: (_req, res) => {
      wrong += 1;
      res.end();
    },
  });
  const north = { service: "pool", zone: "north", holds: [], answer };
  await fleet.addReplica({ ...north, id: "i-2" });
  const regions = { north: "region of north", south: "region of south" };
  const port = await findFreePort();
  await startGateway(t, fleet, { host: "127.0.0.1", port, regions });
  const second = await startGateway(t, fleet, {
    host: "127.0.0.2",
    port,
    regions,
  });
  await waitFor(async () =>
    (await second.send("/draft/", chat("m1"))).status === 200
  );
  t.is(wrong, 0);
});
