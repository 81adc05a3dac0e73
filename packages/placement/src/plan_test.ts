import test from "ava";
import fc from "fast-check";
import type { ReplicaReport } from "@banyanspool/types";
import { assemblePlacementPlan, type PlacementModel } from "./plan.ts";
import { countReadyReplicas } from "./model_load_target.ts";

const SEED = 20_261_204;
const RUNS = 500;
const OPTIONS = {
  maxMoves: 4,
  busyShare: 0.6,
  minGain: 0.02,
  kvShare: 0.05,
};

function createModel(name: string, fields = {}): PlacementModel {
  return {
    name,
    weightsMib: 40,
    contextKvMib: 5,
    minReplicas: 1,
    fastReplicas: 0,
    slowReplicas: 0,
    ...fields,
  };
}

function createReport(replica: string, readyModels: string[]): ReplicaReport {
  return {
    replica,
    instance: replica,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "centre-a",
    sequence: 1,
    readyModels,
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 8,
    weightsMib: 40 * readyModels.length,
    memoryMib: 100,
    prefillTokensPerS: 1000,
    decodeUsPerToken: 20_000,
    leaving: false,
  };
}

function plan(models: PlacementModel[], replicas: ReplicaReport[]) {
  return assemblePlacementPlan({ models, replicas, pendingMoves: [] }, OPTIONS);
}

test("a model without a replica is loaded first", (t) => {
  const models = [createModel("a", { minReplicas: 2 }), createModel("b")];
  const [first] = plan(models, [
    createReport("r1", ["a"]),
    createReport("r2", []),
  ]);
  t.is(first?.load, "b");
  t.is(first?.reason, "reach");
});

test("a missing copy of a hot model with many waiting requests loads before a rare model's first replica", (t) => {
  const models = [
    createModel("hot", { minReplicas: 2, waitingRequests: 9 }),
    createModel("rare", { waitingRequests: 1 }),
    createModel("idle", { minReplicas: 0 }),
  ];
  const moves = plan(models, [
    createReport("r1", ["hot"]),
    createReport("r2", []),
  ]);
  t.deepEqual(moves.map(({ load, reason }) => `${load} ${reason}`), [
    "hot copies",
    "rare reach",
  ]);
});

test("a saturated model gets its copies before a rare model that a request waits for", (t) => {
  const models = [
    createModel("hot", { minReplicas: 3, fastReplicas: 3 }),
    createModel("rare", { waitingRequests: 1 }),
    ...["a", "b"].map((name) => createModel(name, { minReplicas: 0 })),
  ];
  const moves = plan(models, [
    createReport("r1", ["hot"]),
    createReport("r2", ["a"]),
    createReport("r3", ["b"]),
  ]);
  t.deepEqual(moves.map(({ load }) => load), ["hot", "hot", "rare"]);
});

test("a model is loaded where its replica has a local copy and is idle", (t) => {
  const models = [
    createModel("hot", { fastReplicas: 0.9 }),
    createModel("idle", { minReplicas: 0 }),
    createModel("wanted", { waitingRequests: 1 }),
  ];
  const replicas = [
    createReport("busy", ["hot"]),
    createReport("distant", ["idle"]),
    createReport("near", ["idle"]),
  ];
  const [move] = assemblePlacementPlan({
    models,
    replicas,
    pendingMoves: [],
    localCopies: new Set(["near wanted"]),
  }, OPTIONS);
  t.is(move?.replica, "near");
});

test("only models that are ready elsewhere are unloaded", (t) => {
  const models = ["a", "b", "c"].map((name) => createModel(name));
  const [first] = plan(models, [
    createReport("r1", ["a", "b"]),
    createReport("r2", ["a"]),
  ]);
  t.is(first?.replica, "r2");
  const full = plan([...models, createModel("d"), createModel("e")], [
    createReport("r1", ["a", "b"]),
    createReport("r2", ["c", "d"]),
  ]);
  t.deepEqual(full, [], "no model can be unloaded, so the plan is empty");
});

test("a busy model gets a copy, a model with little demand gets none", (t) => {
  const quiet = [createModel("a", { fastReplicas: 0.1 }), createModel("b")];
  const busy = [createModel("a", { fastReplicas: 0.9 }), createModel("b")];
  const replicas = [createReport("r1", ["a"]), createReport("r2", ["b"])];
  t.deepEqual(plan(quiet, replicas), []);
  t.is(plan(busy, replicas)[0]?.load, "a");
  t.is(plan(busy, replicas)[0]?.replica, "r2");
});

test("a plan that was carried out leads to no further moves", (t) => {
  const models = [createModel("a", { fastReplicas: 0.9 }), createModel("b")];
  const replicas = [createReport("r1", ["a"]), createReport("r2", ["b", "a"])];
  t.deepEqual(plan(models, replicas), []);
});

test("no plan leaves a model without a replica or exceeds a replica's memory", (t) => {
  const model = fc.record({
    weightsMib: fc.integer({ min: 10, max: 50 }),
    minReplicas: fc.integer({ min: 1, max: 2 }),
    fastReplicas: fc.double({ min: 0, max: 3, noNaN: true }),
  });
  const input = fc.tuple(
    fc.array(model, { minLength: 1, maxLength: 6 }),
    fc.array(fc.array(fc.nat(5), { maxLength: 2 }), {
      minLength: 1,
      maxLength: 5,
    }),
  );
  fc.assert(
    fc.property(input, ([fields, layout]) => {
      const models = fields.map((f, i) => createModel(`m${i}`, f));
      const sizes = new Map(models.map((m) => [m.name, m.weightsMib]));
      const replicas = layout.map((indexes, i) => {
        const names = [...new Set(indexes)].map((index) => `m${index}`)
          .filter((name) => sizes.has(name));
        const used = names.reduce((sum, name) => sum + sizes.get(name)!, 0);
        return { ...createReport(`r${i}`, names), weightsMib: used };
      });
      const before = countReadyReplicas(replicas);
      const state = new Map(replicas.map((r) => [r.replica, r]));
      for (const move of plan(models, replicas)) {
        const report = state.get(move.replica)!;
        const kept = report.readyModels.filter((m) => !move.unload.includes(m));
        const readyModels = [...kept, move.load];
        const used = readyModels.reduce((sum, m) => sum + sizes.get(m)!, 0);
        if (used > report.memoryMib) return false;
        state.set(move.replica, { ...report, readyModels });
      }
      const after = countReadyReplicas([...state.values()]);
      return [...before.keys()].every((name) => (after.get(name) ?? 0) > 0);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("a model that a group needs is loaded at one of its replicas", (t) => {
  const models = [createModel("a"), createModel("b")];
  const replicas = [
    createReport("r1", ["a"]),
    createReport("r2", ["b"]),
    createReport("r3", ["a", "b"]),
  ];
  const planFor = (...group: string[]) =>
    assemblePlacementPlan({
      models,
      replicas,
      pendingMoves: [],
      groupNeeds: [{ model: "a", replicas: new Set(group) }],
    }, OPTIONS);
  t.deepEqual(planFor("r1", "r2"), []);
  t.like(planFor("r2"), [{ replica: "r2", load: "a", reason: "group" }]);
  t.deepEqual(planFor("gone"), []);
});

function createIdleModels(names: string, fields = {}): PlacementModel[] {
  return [...names].map((name) =>
    createModel(name, { minReplicas: name === "c" ? 1 : 0, ...fields })
  );
}

// The last copies of two models without requests replaced each other, each at
// the price of a load from the weight store.
test("a model that nobody requests replaces no last copy of another one", (t) => {
  const full = [createReport("r1", ["a", "b"])];
  t.deepEqual(plan(createIdleModels("abc"), full), []);
  const wanted = createModel("c", { waitingRequests: 1 });
  t.is(plan([...createIdleModels("ab"), wanted], full).length, 1);
});

test("a model that nobody requests is loaded where there is room or a spare copy", (t) => {
  const full = createReport("r1", ["a", "b"]);
  const localCopies = new Set(["r1 c"]);
  const planWith = (replicas: ReplicaReport[]) =>
    assemblePlacementPlan({
      models: createIdleModels("abcd"),
      replicas,
      pendingMoves: [],
      localCopies,
    }, OPTIONS)[0];
  t.is(planWith([full, createReport("r2", ["d"])])?.replica, "r2");
  const spare = ["r2", "r3"].map((id) => createReport(id, ["d", "d"]));
  t.deepEqual(planWith([full, ...spare])?.unload, ["d"]);
});

test("a frequently requested model whose replica leaves is loaded in place of a rarely requested one", (t) => {
  const models = [
    ...createIdleModels("ab"),
    createModel("c", { longTermReplicas: 0.01 }),
  ];
  const leaving = { ...createReport("r1", ["c"]), leaving: true };
  const [move] = plan(models, [leaving, createReport("r2", ["a", "b"])]);
  t.is(move?.load, "c");
});

// A model that is requested every few seconds was unloaded for one that nobody
// had requested for minutes, and loaded again for its next request.
test("of two models without requests now, the one that is rarely requested is unloaded", (t) => {
  const rarelyRequested = { minReplicas: 0, longTermReplicas: 0.0001 };
  const models = [
    createModel("frequent", { minReplicas: 0, longTermReplicas: 0.01 }),
    createModel("rare", rarelyRequested),
    createModel("rarer", rarelyRequested),
    createModel("busy", { minReplicas: 1 }),
    createModel("wanted", { waitingRequests: 1 }),
  ];
  const [here] = plan(models, [createReport("r1", ["frequent", "rare"])]);
  t.deepEqual(here?.unload, ["rare"]);
  const [elsewhere] = plan(models, [
    createReport("r1", ["busy", "frequent"]),
    createReport("r2", ["rare", "rarer"]),
  ]);
  t.is(elsewhere?.replica, "r2");
});

test("a configured minimum of copies is loaded whatever the demand", (t) => {
  const empty = [createReport("r1", []), createReport("r2", [])];
  for (const fastReplicas of [0, 0.05]) {
    const models = [createModel("a", { minReplicas: 2, fastReplicas })];
    t.deepEqual(
      plan(models, empty).map((move) => `${move.replica} ${move.reason}`),
      ["r1 reach", "r2 copies"],
    );
  }
});

// The spare copy of the busy model was displaced and loaded again at once.
test("a rare model gives way before a spare copy of a busy one", (t) => {
  const demand = (replicas: number) => ({
    fastReplicas: replicas,
    slowReplicas: replicas,
  });
  const models = [
    createModel("hot", demand(1.6)),
    createModel("rare", { minReplicas: 0, ...demand(0.02) }),
    createModel("want", { waitingRequests: 1 }),
  ];
  const replicas = [["hot"], ["hot"], ["rare"]].map((names, index) => ({
    ...createReport(`r${index}`, names),
    memoryMib: 45,
  }));
  t.deepEqual(
    plan(models, replicas).map(({ load, unload }) => `${load} for ${unload}`),
    ["want for rare"],
  );
});

test("a saturated model gets copies however slowly it loads", (t) => {
  const replicas = [["a"], [], []].map((names, index) =>
    createReport(`r${index}`, names)
  );
  const copiesFor = (demand: number, loadS: number) => {
    const fields = { fastReplicas: demand, slowReplicas: demand, loadS };
    return plan([createModel("a", fields)], replicas).length;
  };
  t.is(copiesFor(1, 30), copiesFor(1, 3));
  t.true(copiesFor(1, 30) > 0);
  t.is(copiesFor(3, 60), 2);
});

test("a model whose stated load takes less than no time is weighed as one that loads at once", (t) => {
  const planWith = (loadS: number) =>
    plan([
      createModel("a", { loadS, longTermReplicas: 0.05, requiredReplicas: 1 }),
      createModel("b", { minReplicas: 0, longTermReplicas: 0.001 }),
    ], [{ ...createReport("r1", ["b"]), memoryMib: 45 }]);
  t.is(planWith(0).length, 1);
  t.deepEqual(planWith(-2), planWith(0));
});
