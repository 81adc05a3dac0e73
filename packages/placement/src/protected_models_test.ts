import test from "ava";
import { chooseProtectedModels } from "./protected_models.ts";

function models(demands: Record<string, number>, waiting: string[] = []) {
  return Object.entries(demands).map(([name, demand]) => ({
    name,
    demand,
    waitingRequests: waiting.includes(name) ? 1 : 0,
    isResident: !waiting.includes(name),
  }));
}

test("with model slots for all, every model keeps a replica", (t) => {
  const chosen = chooseProtectedModels(models({ a: 0, b: 0, c: 1 }), 4);
  t.is(chosen.size, 3);
});

test("with too few model slots the model with the least demand is not protected", (t) => {
  const demands = { busy: 2, a: 0.01, b: 0.02, c: 0.03, wanted: 0.001 };
  const chosen = chooseProtectedModels(models(demands, ["wanted"]), 5);
  t.deepEqual([...chosen.keys()].sort(), ["b", "busy", "c", "wanted"]);
});

test("a resident model isn't replaced by one with slightly more demand", (t) => {
  const candidates = [
    { name: "held", demand: 0.1, waitingRequests: 0, isResident: true },
    { name: "new", demand: 0.11, waitingRequests: 0, isResident: false },
  ];
  t.deepEqual([...chooseProtectedModels(candidates, 2).keys()], ["held"]);
});

test("a hot model whose adapters need several replicas gets copies before rare models get their first replica", (t) => {
  const candidates = [
    {
      name: "hot",
      demand: 0.3,
      waitingRequests: 9,
      isResident: true,
      neededReplicas: 3,
    },
    { name: "rare", demand: 0.01, waitingRequests: 1, isResident: false },
    { name: "idle", demand: 0.01, waitingRequests: 0, isResident: true },
    { name: "idler", demand: 0, waitingRequests: 0, isResident: true },
    { name: "idlest", demand: 0, waitingRequests: 0, isResident: true },
  ];
  const chosen = chooseProtectedModels(candidates, 5);
  t.deepEqual(Object.fromEntries(chosen), { hot: 3, rare: 1 });
});

test("copies without waiting requests don't displace models with demand", (t) => {
  const candidates = [
    {
      name: "hot",
      demand: 0.3,
      waitingRequests: 0,
      isResident: true,
      neededReplicas: 4,
    },
    { name: "a", demand: 0.2, waitingRequests: 0, isResident: true },
    { name: "b", demand: 0.2, waitingRequests: 0, isResident: true },
  ];
  const chosen = chooseProtectedModels(candidates, 4);
  t.deepEqual(Object.fromEntries(chosen), { hot: 1, a: 1, b: 1 });
});

// Models that nobody had requested for a minute replaced each other.
test("of models without requests, resident ones and those requested in the last minutes are kept", (t) => {
  const idle = (name: string, fields = {}) => ({
    name,
    demand: 0,
    waitingRequests: 0,
    isResident: true,
    ...fields,
  });
  const candidates = [
    idle("gone", { isResident: false, longTermDemand: 0.9 }),
    idle("forgotten"),
    idle("rare", { longTermDemand: 0.001 }),
    idle("rarer", { longTermDemand: 0.0005 }),
  ];
  const chosen = chooseProtectedModels(candidates, 3);
  t.deepEqual([...chosen.keys()], ["rare", "rarer"]);
});
