import test from "ava";
import type { ReplicaReport } from "@banyanspool/types";
import { DemandMeter } from "./demand_meter.ts";
import { LongTermDemand } from "./long_term_demand.ts";
import { assemblePlacementPlan, type PlacementMove } from "./plan.ts";
import { chooseProtectedModels } from "./protected_models.ts";

const STEP_MS = 100;
const LOAD_MS = 3000;
const RESIDENCY_MS = 6000;
const PATIENCE_MS = 5000;
/** Time for which one request keeps a replica busy, in ms. */
const REQUEST_MS = 100;
const OPTIONS = { maxMoves: 6, busyShare: 0.25, kvShare: 0, minGain: 0.05 };

interface Load extends PlacementMove {
  readonly startedAt: number;
  readonly endsAt: number;
}

/**
 * Plans for replicas with one place each and a pattern of requests, by the time
 * in ms. A request for an absent model waits for it as long as it can.
 */
function play(
  places: readonly (string | undefined)[],
  { names, requestsAt, forMs = 30_000 }: {
    names: readonly string[];
    requestsAt: (ms: number) => readonly string[];
    forMs?: number;
  },
) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const meter = DemandMeter.create({
    clock,
    fastWindowMs: 3000,
    slowWindowMs: 15_000,
  });
  const longTerm = LongTermDemand.create({ clock });
  const held = [...places];
  const loads: Load[] = [];
  let waiting: { name: string; until: number }[] = [];
  let refused = 0;
  for (; now < forMs; now += STEP_MS) {
    for (const load of loads) {
      if (load.endsAt === now) held[Number(load.replica)] = load.load;
    }
    for (const name of requestsAt(now)) {
      meter.record(name, REQUEST_MS);
      waiting.push({ name, until: now + PATIENCE_MS });
    }
    refused += waiting.filter(({ until }) => until <= now).length;
    waiting = waiting
      .filter(({ name, until }) => until > now && !held.includes(name));
    const demand = new Map(meter.read().map((entry) => [entry.model, entry]));
    longTerm.record(demand);
    const fields = names.map((name) => ({
      name,
      fastReplicas: demand.get(name)?.fastReplicas ?? 0,
      slowReplicas: demand.get(name)?.slowReplicas ?? 0,
      waitingRequests: waiting.filter((entry) => entry.name === name).length,
      longTermReplicas: longTerm.averageOf(name),
    }));
    const minReplicas = chooseProtectedModels(
      fields.map((model) => ({
        ...model,
        demand: Math.max(model.fastReplicas, model.slowReplicas),
        longTermDemand: model.longTermReplicas,
        isResident: held.includes(model.name),
        neededReplicas: Math.max(1, Math.ceil(model.fastReplicas / 0.4)),
      })),
      held.length,
    );
    const pendingMoves = loads.filter(({ endsAt }) => endsAt > now);
    const busy = new Set(pendingMoves.map(({ replica }) => replica));
    const recent = loads.filter(({ endsAt }) => now - endsAt < RESIDENCY_MS);
    const moves = assemblePlacementPlan({
      models: fields.map((model) => ({
        ...model,
        weightsMib: 1,
        contextKvMib: 0,
        minReplicas: minReplicas.get(model.name) ?? 0,
        requiredReplicas: 1,
        loadS: LOAD_MS / 1000,
      })),
      replicas: held.map((name, index) =>
        createReport(index, { name, isBusy: busy.has(`${index}`) })
      ),
      pendingMoves,
      keepResident: new Set(
        recent.map(({ replica, load }) => `${replica} ${load}`),
      ),
    }, { ...OPTIONS, maxMoves: OPTIONS.maxMoves + pendingMoves.length });
    for (const move of moves) {
      if (move.unload.length > 0) held[Number(move.replica)] = undefined;
      loads.push({ ...move, startedAt: now, endsAt: now + LOAD_MS });
    }
  }
  return { loads, held, refused };
}

function createReport(
  index: number,
  { name, isBusy }: { name: string | undefined; isBusy: boolean },
): ReplicaReport {
  return {
    replica: `${index}`,
    instance: `${index}`,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "centre-a",
    sequence: 1,
    readyModels: name === undefined ? [] : [name],
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 8,
    weightsMib: name === undefined ? 0 : 1,
    memoryMib: isBusy ? 0 : 1,
    prefillTokensPerS: 1000,
    decodeUsPerToken: 20_000,
    leaving: false,
  };
}

/** The names whose turn it is, each asked for every so often, in ms. */
function every(periodMs: number, names: readonly string[]) {
  return (ms: number) => ms % periodMs === 0 ? names : [];
}

test("two rare models that alternate for one place stay for their residency each", (t) => {
  const busy = ["busy-1", "busy-2", "busy-3", "busy-4"];
  const { loads } = play([...busy, "a"], {
    names: [...busy, "a", "b"],
    requestsAt: (ms) => [
      ...every(500, busy)(ms),
      ...ms % 1000 === 0 ? [ms % 2000 === 0 ? "a" : "b"] : [],
    ],
  });
  t.true(loads.length <= 1 + 30_000 / (LOAD_MS + RESIDENCY_MS));
  t.deepEqual(loads.slice(0, 2).map(({ load }) => load), ["b", "a"]);
});

test("a burst that ends before its load would displaces no model in demand", (t) => {
  const rare = every(2000, ["b", "c", "d"]);
  const { loads } = play(["hot", "b", "c", "d"], {
    names: ["hot", "b", "c", "d"],
    requestsAt: (ms) => [
      ...rare(ms),
      ...ms >= 10_000 && ms < 11_000 ? Array(2).fill("hot") : [],
    ],
  });
  t.deepEqual(loads.map(({ load, reason }) => `${load} ${reason}`), []);
});

test("demand that lasts gets its copy in place of a model that nobody requests", (t) => {
  const { loads } = play(["hot", "idle"], {
    names: ["hot", "idle"],
    requestsAt: every(100, ["hot"]),
  });
  t.is(loads[0]?.load, "hot");
  t.true(loads[0]!.startedAt < 5000);
});

test("rare models asked for at once with fewer places are loaded once each", (t) => {
  const names = ["a", "b", "c", "d", "e"];
  const { loads } = play([undefined, undefined, undefined], {
    names,
    requestsAt: (ms) => ms === 1000 ? names : [],
  });
  const loaded = loads.map(({ load }) => load);
  t.is(new Set(loaded).size, loaded.length);
  t.true(loaded.length >= 3);
});

test("demand that moves to other models in steps of five seconds takes no copies in place of the next ones", (t) => {
  const names = ["a", "b", "c", "d", "e", "f"];
  const { loads, refused } = play(names, {
    names,
    requestsAt: (ms) => [
      ...ms % 200 === 0 ? [names[Math.floor(ms / 5000) % names.length]!] : [],
      ...every(2000, names)(ms),
    ],
  });
  t.deepEqual(loads, []);
  t.is(refused, 0);
});

test("demand that goes quiet leaves the models where they are", (t) => {
  const { loads } = play(["a", "b", "c"], {
    names: ["a", "b", "c", "d"],
    requestsAt: (ms) => ms < 8000 ? every(500, ["a", "b", "c"])(ms) : [],
    forMs: 60_000,
  });
  t.deepEqual(loads, []);
});

test("a replica that returns empty is filled once, without loads elsewhere", (t) => {
  const { loads, held } = play(["a", "b", undefined], {
    names: ["a", "b", "c"],
    requestsAt: every(1000, ["a", "b", "c"]),
  });
  t.deepEqual(loads.map(({ replica, load }) => `${replica} ${load}`), ["2 c"]);
  t.deepEqual(held, ["a", "b", "c"]);
});

test("a model without a replica that is asked for is loaded at once, whatever it displaces", (t) => {
  const names = ["a", "b", "c", "d", "e"];
  const { loads } = play(names, {
    names: [...names, "rare"],
    requestsAt: (ms) => [
      ...every(4000, names)(ms),
      ...ms === 10_000 ? ["rare"] : [],
    ],
    forMs: 12_000,
  });
  const [first] = loads;
  t.is(first?.load, "rare");
  t.is(first?.startedAt, 10_000);
  t.true(first!.worth!.displaces > first!.worth!.earns);
});
