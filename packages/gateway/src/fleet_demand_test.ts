import test from "ava";
import { FleetDemandTable } from "./fleet_demand.ts";

const demand = (waiting: number) =>
  new Map([["m", {
    model: "m",
    fastReplicas: 0.5,
    slowReplicas: 0.2,
    waiting,
  }]]);

test("reported demand is added to the own one until it is old", (t) => {
  let now = 0;
  const table = FleetDemandTable.create({
    clock: { now: () => now, wall: () => now },
  });
  table.record("gw-1", demand(1));
  table.record("gw-2", demand(0));
  t.deepEqual(table.sumWith(demand(2)).get("m"), {
    model: "m",
    fastReplicas: 1.5,
    slowReplicas: 0.6000000000000001,
    waiting: 3,
  });
  now = 3100;
  t.is(table.sumWith(demand(2)).get("m")?.waiting, 2);
});

test("a first waiting request is new, further ones are not", (t) => {
  const table = FleetDemandTable.create({
    clock: { now: () => 0, wall: () => 0 },
  });
  t.false(table.record("gw-1", demand(0)));
  t.true(table.record("gw-1", demand(1)));
  t.false(table.record("gw-1", demand(2)));
  table.retain(new Set());
  t.true(table.record("gw-1", demand(2)));
});
