import test, { type ExecutionContext } from "ava";
import type { Lease } from "@banyanspool/platform";
import { ReplicaStandin } from "@banyanspool/platform-adapter/testing";
import { createSystemClock, sleep } from "@banyanspool/types";
import { ConnectionPools } from "./connection_pools.ts";
import { EngineController } from "./engine_controller.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";

const LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

async function startController(
  t: ExecutionContext,
  options: { loadMs?: number; countsOrdersThatHold?: boolean } = {},
) {
  const replica = await ReplicaStandin.create({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
    ...options,
  });
  const pools = ConnectionPools.create({ maxConnectionsFor: () => 4 });
  t.teardown(() => {
    pools.closeAllExcept([]);
    replica.close();
  });
  let permit = Promise.resolve();
  const withholdPermit = () => {
    let grant = () => {};
    permit = new Promise((resolve) => grant = resolve);
    return grant;
  };
  const outcomes: unknown[] = [];
  const lease = { held: true, fencingToken: 1, term: 1 };
  let onAvailable = () => {};
  const isAvailable = new Promise<void>((resolve) => onAvailable = resolve);
  const controller = EngineController.create({
    lease: lease as unknown as Lease,
    holder: "g-1",
    clock: createSystemClock(),
    sleep,
    pools,
    awaitPermit: () => permit,
    onNotices: () => {},
    onAvailableModelsChange: () => onAvailable(),
    log: {
      ...LOG,
      write: (event: string, fields?: Record<string, unknown>) => {
        if (event === "engine order") outcomes.push(fields?.["outcome"]);
      },
    },
    metrics: GatewayMetrics.create(),
  });
  const server = {
    id: "i-1",
    service: "pool",
    address: `127.0.0.1:${replica.port}`,
    dataCentre: "north",
    slots: 64,
    draining: false,
    softwareVersion: "v1",
    startedAt: replica.startedAt,
    sequence: 1,
    models: [],
  };
  const follow = () => controller.follow(new Map([["i-1", server]]));
  follow();
  await isAvailable;
  return { replica, lease, controller, follow, withholdPermit, outcomes };
}

test("an unanswered order is repeated at once with the same order count, before a report is read", async (t) => {
  const { replica, controller } = await startController(t);
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

test("after a lapse of the lease during a load, the engine's report is read before anything is planned for it", async (t) => {
  const { replica, lease, controller, follow } = await startController(t);
  const state = controller.get("i-1")!;
  await controller.order(state, { operation: "load", model: "m2" });
  lease.held = false;
  t.false(
    await controller.awaitEffect(state, () => state.models.has("m2")),
  );
  t.false(state.isSynced, "a planner would load the model once more");
  lease.held = true;
  follow();
  for (let i = 0; i < 100 && !state.isSynced; i += 1) await sleep(20);
  await state.lastTask;
  t.true(state.isSynced);
  t.true(state.isBusy || state.models.has("m2"));
  t.deepEqual(replica.orders, ["load m2"]);
});

// An empty list was published after a lapse of the lease, so that gateways took
// all models that had been loaded meanwhile for gone.
test("after a lapse of the lease, nothing is said of replicas until they are followed again", async (t) => {
  const { lease, controller, follow } = await startController(t);
  const listed = controller.listAvailableModels();
  t.deepEqual(listed?.map(({ names }) => names), [["m1"]]);
  lease.held = false;
  t.is(controller.listAvailableModels(), undefined);
  controller.clear();
  lease.held = true;
  lease.term = 2;
  t.is(controller.listAvailableModels(), undefined);
  follow();
  t.deepEqual(controller.listAvailableModels(), []);
  t.deepEqual([...controller.listUnsettledReplicas()], ["i-1"]);
  await controller.get("i-1")!.lastTask;
  t.is(controller.listAvailableModels()?.length, 1);
});

test("a wrong count of accepted orders is corrected by the engine's reports", async (t) => {
  const { replica, controller } = await startController(t);
  const state = controller.get("i-1")!;
  state.server = { ...state.server, startedAt: replica.startedAt };
  state.acceptedOrderCount = 7;
  await controller.resync(state);
  t.is(state.acceptedOrderCount, 0);
});

test("a replica whose reports can't be read is lost, one that is to be read is unsettled", async (t) => {
  const { replica, controller, follow } = await startController(t);
  const state = controller.get("i-1")!;
  t.deepEqual([...controller.listUnsettledReplicas()], []);
  state.isSynced = false;
  t.deepEqual([...controller.listUnsettledReplicas()], ["i-1"]);
  replica.close();
  for (let i = 0; i < 200 && !state.isLost; i += 1) {
    follow();
    await sleep(20);
  }
  t.true(state.isLost);
  t.deepEqual([...controller.listUnsettledReplicas()], []);
  controller.clear();
});

// Orders and reads of reports came on top of the requests that a limit allows.
test("an order and a read of a report wait for the permit of a replica with a limit", async (t) => {
  const { replica, lease, controller, withholdPermit } = await startController(
    t,
  );
  const state = controller.get("i-1")!;
  replica.engineCalls.length = 0;
  const load = { operation: "load", model: "m1", adapter: "a1" } as const;
  let grant = withholdPermit();
  const ordered = controller.order(state, load);
  const resynced = controller.resync(state);
  await sleep(600);
  t.deepEqual(replica.engineCalls, []);
  grant();
  t.is(await ordered, "accepted");
  await resynced;
  t.true(replica.engineCalls.includes("report"));
  grant = withholdPermit();
  const late = controller.order(state, load);
  lease.held = false;
  grant();
  t.is(await late, "lease lost", "the lease is checked after the wait");
});

function countOrders(calls: readonly string[]): number {
  return calls.filter((call) => call !== "report").length;
}

/** Orders a second load during the first one; returns what came of them. */
async function orderDuringLoad(t: ExecutionContext) {
  const { replica, controller, outcomes } = await startController(t, {
    loadMs: 700,
  });
  const state = controller.get("i-1")!;
  await controller.order(state, { operation: "load", model: "m2" });
  replica.engineCalls.length = 0;
  await controller.orderWhenIdle(state, { operation: "load", model: "m3" });
  return { outcomes, orders: countOrders(replica.engineCalls) };
}

// The order was tried again at short intervals, and refused each time.
test("an order for an engine that still carries out another one is refused once", async (t) => {
  let played = await orderDuringLoad(t);
  // On a busy machine an answer may come after the order's time-out.
  for (let i = 0; i < 5 && played.outcomes.includes("unknown"); i += 1) {
    played = await orderDuringLoad(t);
  }
  t.deepEqual(played.outcomes, ["accepted", "conflict", "accepted"]);
  t.is(played.orders, 2);
});

test("an engine that has accepted other orders is tried once more at most, and nothing is planned for it for a while", async (t) => {
  const { replica, controller } = await startController(t);
  const state = controller.get("i-1")!;
  await controller.order(state, { operation: "load", model: "m2" });
  state.acceptedOrderCount = 0;
  replica.engineCalls.length = 0;
  const order = { operation: "load", model: "m3" } as const;
  t.is(await controller.orderWhenIdle(state, order), "conflict");
  // The first report may be from before the other order.
  t.true(countOrders(replica.engineCalls) <= 2);
  const { refusedUntil } = state;
  t.true(refusedUntil > -Infinity);
  t.is(await controller.orderWhenIdle(state, order), "conflict");
  t.true(state.refusedUntil > refusedUntil);
  state.acceptedOrderCount = 1;
  t.is(await controller.orderWhenIdle(state, order), "accepted");
  t.is(state.refusals, 0);
});

// A report whose count was lower was taken for an old one until the time-out.
test("an order isn't held back for long if the count of accepted orders here is too high", async (t) => {
  const { replica, controller } = await startController(t, {
    countsOrdersThatHold: false,
  });
  const state = controller.get("i-1")!;
  const held = { operation: "load", model: "m1" } as const;
  t.is(await controller.order(state, held), "done");
  t.is(state.acceptedOrderCount, 1);
  replica.engineCalls.length = 0;
  const order = { operation: "load", model: "m2" } as const;
  t.is(await controller.orderWhenIdle(state, order), "conflict");
  t.is(countOrders(replica.engineCalls), 1);
  // The reports of 350 ms may be old, and three more are read.
  t.true(replica.engineCalls.length <= 1 + 4 + 3);
});

test("an order for an engine that has started again isn't held back", async (t) => {
  const { replica, controller } = await startController(t);
  const state = controller.get("i-1")!;
  state.acceptedOrderCount = 1;
  state.server = { ...state.server, startedAt: replica.startedAt - 1 };
  replica.engineCalls.length = 0;
  const order = { operation: "load", model: "m2" } as const;
  t.is(await controller.orderWhenIdle(state, order), "conflict");
  t.deepEqual(replica.engineCalls.slice(1), ["report"]);
});

test("a wait for an idle engine counts as one refusal, and an accepted order ends the pause", async (t) => {
  const { replica, controller } = await startController(t);
  const state = controller.get("i-1")!;
  await controller.order(state, { operation: "load", model: "m2" });
  state.acceptedOrderCount = 0;
  replica.engineCalls.length = 0;
  const order = { operation: "load", model: "m3" } as const;
  t.is(await controller.orderWhenIdle(state, order), "conflict");
  t.is(state.refusals, 1);
  t.true(state.refusedUntil > -Infinity);
  for (let i = 0; i < 100 && state.isBusy; i += 1) {
    await controller.resync(state);
  }
  state.acceptedOrderCount = 1;
  t.is(await controller.orderWhenIdle(state, order), "accepted");
  t.is(state.refusals, 0);
  t.is(state.refusedUntil, -Infinity);
});

// The state was rebuilt from a report that didn't show the order yet.
test("after an order and a new term of the lease, no report from before the order is trusted", async (t) => {
  const { replica, controller, follow } = await startController(t);
  const order = { operation: "load", model: "m2" } as const;
  await controller.order(controller.get("i-1")!, order);
  t.deepEqual(replica.orders, ["load m2"]);
  controller.clear();
  follow();
  const state = controller.get("i-1")!;
  await state.lastTask;
  t.true(state.isSynced);
  t.true(state.isBusy || state.models.has("m2"));
});
