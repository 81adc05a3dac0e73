import test from "ava";
import type { Lease } from "@banyanspool/platform";
import { ReplicaStandin } from "@banyanspool/platform-adapter/testing";
import { createSystemClock, sleep } from "@banyanspool/types";
import { ConnectionPools } from "./connection_pools.ts";
import { EngineController } from "./engine_controller.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

const LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

test("an unanswered order is repeated at once with the same order count, before a report is read", async (t) => {
  const replica = await ReplicaStandin.create({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
  });
  const pools = ConnectionPools.create({ maxConnectionsFor: () => 4 });
  t.teardown(() => {
    pools.closeAllExcept([]);
    replica.close();
  });
  const lease = { held: true, fencingToken: 1 } as unknown as Lease;
  let onAvailable = () => {};
  const isAvailable = new Promise<void>((resolve) => onAvailable = resolve);
  const controller = EngineController.create({
    lease,
    holder: "g-1",
    clock: createSystemClock(),
    sleep,
    pools,
    onAvailableModelsChange: () => onAvailable(),
    log: LOG,
    metrics: GatewayMetrics.create(),
  });
  const server = {
    id: "i-1",
    service: "pool",
    address: `127.0.0.1:${replica.port}`,
    dataCentre: "north",
    slots: 64,
    draining: false,
    startedAt: 1,
    models: [],
  };
  controller.follow(new Map([["i-1", server]]));
  await isAvailable;
  replica.engineCalls.length = 0;
  replica.unansweredOrders = 2;
  await controller.order(controller.get("i-1")!, {
    operation: "load",
    model: "m1",
    adapter: "a1",
  });
  const order = "load m1/a1 after 0";
  t.deepEqual(replica.engineCalls.slice(0, 3), [order, order, order]);
  t.deepEqual(replica.orders, ["load m1/a1"], "the order is carried out once");
});
