import test from "ava";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer, EngineSpec } from "@banyanspool/types";
import type { EngineController, PlacementOrder } from "./engine_controller.ts";
import { createEngineState } from "./engine_state.ts";
import { ModelScheduler } from "./model_scheduler.ts";

const HELD = ["held-1", "held-2", "held-3"];
const ENGINE: EngineSpec = {
  slots: 64,
  kvCapacityTokens: 200_000,
  weightsMb: 220,
  adapterSlots: 0,
  modelLoadsPerS: 10,
  models: new Map(
    [...HELD, "wanted"].map((name) => [
      name,
      { name, weightsMb: 70, modelLoadMs: 1000, adapterMb: 0 },
    ]),
  ),
};
const SERVER: BackendServer = {
  id: "r1",
  service: "pool",
  address: "127.0.0.1:1",
  dataCentre: "north",
  slots: 64,
  draining: false,
  softwareVersion: "v1",
  startedAt: 1,
  sequence: 1,
  models: [],
};
/** Time that the engine takes to drop a model without requests, in ms. */
const DROP_MS = 30;

/** Longest time for which an idle engine may wait for the next order, in ms. */
const MAX_IDLE_MS = 100;

/**
 * Swaps the models of an engine whose last requests for the old ones end at
 * a given time, while the lease is held until another one. Returns the orders
 * with their times, and whether the engine refused each.
 */
async function swapModels(
  { requestsEndAt = 0, leaseEndsAt = Infinity },
) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const state = createEngineState(SERVER, 0);
  for (const model of HELD) state.models.add(model);
  state.isSynced = true;
  let busyUntil = 0;
  let work = Promise.resolve();
  const orders: { operation: string; isRefused: boolean; at: number }[] = [];
  const controller = {
    get holdsLease() {
      return now < leaseEndsAt;
    },
    get: () => state,
    notifyAvailableModelsChange: () => {},
    enqueue: (_state: unknown, task: () => Promise<void>) => {
      work = task();
    },
    orderWhenIdle: (_state: unknown, { operation }: PlacementOrder) => {
      orders.push({ operation, isRefused: now < busyUntil, at: now });
      busyUntil = Math.max(now, requestsEndAt) + DROP_MS;
      return Promise.resolve("accepted");
    },
    awaitEffect: () => Promise.resolve(true),
  } as unknown as EngineController;
  const scheduler = ModelScheduler.create({
    engineController: controller,
    clock,
    sleep: (ms) => {
      now += ms;
      return Promise.resolve();
    },
    replicaTracker: {
      loadAt: () => ({
        models: new Map(
          now < requestsEndAt ? HELD.map((model) => [model, 1]) : [],
        ),
        adapters: new Set(),
      }),
    } as unknown as ReplicaTracker,
    demand: () =>
      new Map([[
        "wanted",
        { model: "wanted", fastReplicas: 0.1, slowReplicas: 0.1, waiting: 1 },
      ]]),
    streamNeeds: () => [],
    isLimited: () => false,
    log: { write: () => {}, dropped: () => 0, flush: () => {} },
  });
  scheduler.plan(ENGINE, [SERVER]);
  await work;
  return orders;
}

// Engines refused the first order after each unload, as they were still busy.
for (const requestsEndAt of [0, 700]) {
  test(`a load follows an unload soon after the engine has dropped the model, whose requests end after ${requestsEndAt} ms`, async (t) => {
    const orders = await swapModels({ requestsEndAt });
    t.deepEqual(orders.map(({ operation }) => operation), ["unload", "load"]);
    t.false(orders.some(({ isRefused }) => isRefused));
    const idleAt = Math.max(orders[0]!.at, requestsEndAt) + DROP_MS;
    t.true(orders[1]!.at - idleAt <= MAX_IDLE_MS);
  });
}

test("a load isn't put off for long by a request that doesn't end, nor without the lease", async (t) => {
  const requestsEndAt = Infinity;
  const [, load] = await swapModels({ requestsEndAt });
  t.true(load!.at <= 1100);
  const [, unleased] = await swapModels({ requestsEndAt, leaseEndsAt: 10 });
  t.true(unleased!.at <= MAX_IDLE_MS);
});

/** Counts the loads from the weight store that a holder starts at once. */
function countLoadsOfTerm(terms: { idleMs: number; term: number }[]): number {
  let now = 0;
  let leaseTerm = 0;
  let loads = 0;
  const scheduler = ModelScheduler.create({
    engineController: {
      get leaseTerm() {
        return leaseTerm;
      },
      get: (id: string) => {
        const server = { ...SERVER, id };
        return Object.assign(createEngineState(server, 0), { isSynced: true });
      },
      notifyAvailableModelsChange: () => {},
      enqueue: () => {
        loads += 1;
      },
    } as unknown as EngineController,
    clock: { now: () => now, wall: () => now },
    sleep: () => Promise.resolve(),
    replicaTracker: {
      loadAt: () => ({ models: new Map(), adapters: new Set() }),
    } as unknown as ReplicaTracker,
    demand: () =>
      new Map(HELD.map((model) => [
        model,
        { model, fastReplicas: 0.1, slowReplicas: 0.1, waiting: 1 },
      ])),
    streamNeeds: () => [],
    isLimited: () => false,
    log: { write: () => {}, dropped: () => 0, flush: () => {} },
  });
  for (const { idleMs, term } of terms) {
    now += idleMs;
    leaseTerm = term;
    loads = 0;
    const servers = ["r1", "r2", "r3"].map((id) => ({ ...SERVER, id }));
    scheduler.plan({ ...ENGINE, modelLoadsPerS: 1 }, servers);
  }
  return loads;
}

// The former holder may have used the weight store's burst a moment ago.
test("models asked for at once after a change of the lease holder don't load beyond the weight store's limit", (t) => {
  t.is(countLoadsOfTerm([{ idleMs: 20_000, term: 1 }]), 0);
  const held = [{ idleMs: 20_000, term: 1 }, { idleMs: 2000, term: 1 }];
  t.is(countLoadsOfTerm(held), 1);
});
