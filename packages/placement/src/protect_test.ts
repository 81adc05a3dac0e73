import test from "ava";
import { chooseProtectedModels } from "./protect.ts";

function models(demands: Record<string, number>, waiting: string[] = []) {
  return Object.entries(demands).map(([name, demand]) => ({
    name,
    demand,
    waiting: waiting.includes(name) ? 1 : 0,
    isHeld: !waiting.includes(name),
  }));
}

test("with room for all, every model keeps a replica", (t) => {
  const chosen = chooseProtectedModels(models({ a: 0, b: 0, c: 1 }), 4);
  t.is(chosen.size, 3);
});

test("lost replicas, rare models at once: the least asked for makes way", (t) => {
  const demands = { busy: 2, a: 0.01, b: 0.02, c: 0.03, wanted: 0.001 };
  const chosen = chooseProtectedModels(models(demands, ["wanted"]), 5);
  t.deepEqual([...chosen].sort(), ["b", "busy", "c", "wanted"]);
});

test("a held model isn't exchanged for one with hardly more demand", (t) => {
  const candidates = [
    { name: "held", demand: 0.1, waiting: 0, isHeld: true },
    { name: "new", demand: 0.11, waiting: 0, isHeld: false },
  ];
  t.deepEqual([...chooseProtectedModels(candidates, 2)], ["held"]);
});
