import test from "ava";
import fc from "fast-check";
import {
  LIFETIME_MS,
  MEMORY_MIB,
  UnreliableEngine,
} from "./testing/unreliable_engine.ts";

const SEED = 20_261_204;
const RUNS = 5000;

type Step = [string, (engine: UnreliableEngine) => void];

const MODELS = [["a", 40], ["b", 50], ["c", 60], ["d", 30]] as const;
const model = fc.constantFrom(...MODELS);
const delivery = fc.constantFrom("now", "now", "late", "lost", "doubled");

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(model, delivery).map(([[name, mib], f]): Step => [
    `load ${name} ${f}`,
    (engine) => engine.load(name, mib, f),
  ]),
  fc.tuple(model, delivery).map(([[name], f]): Step => [
    `unload ${name} ${f}`,
    (engine) => engine.unload(name, f),
  ]),
  fc.tuple(fc.integer({ min: 5, max: 30 }), fc.constantFrom("now", "late"))
    .map(([mib, f]): Step => [
      `run ${mib} ${f}`,
      (engine) => engine.run(mib, f),
    ]),
  fc.constant<Step>(["end", (engine) => engine.end()]),
  fc.boolean().map((isDelayed): Step => [
    `inventory ${isDelayed}`,
    (engine) => engine.readInventory(isDelayed),
  ]),
  fc.constantFrom(100, 1000, LIFETIME_MS, LIFETIME_MS + 1).map((ms): Step => [
    `advance ${ms}`,
    (engine) => engine.advance(ms),
  ]),
  fc.constant<Step>(["deliver", (engine) => engine.deliverOne()]),
  fc.constant<Step>(["settle", settle]),
  fc.constant<Step>(["replace", (engine) => engine.replaceAgent()]),
);

/** Lets all orders arrive, and applies the resulting inventory. */
function settle(engine: UnreliableEngine): void {
  engine.advance(LIFETIME_MS + 1);
  engine.readInventory(false);
}

function createSettled(): UnreliableEngine {
  const engine = new UnreliableEngine();
  engine.readInventory(false);
  settle(engine);
  return engine;
}

test("no interleaving of orders overcommits memory", (t) => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), (steps) => {
      const engine = createSettled();
      for (const [, run] of steps) run(engine);
      return engine.peakMib <= MEMORY_MIB;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("an unload frees no memory before the model is missing from an inventory", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "now");
  settle(engine);
  engine.unload("c", "lost");
  t.is(engine.ledger.freeMib, 40);
  settle(engine);
  t.is(engine.ledger.stateOf("c"), "ready", "the lost order had no effect");
});

test("a model with an unload in transit is not ready", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "now");
  settle(engine);
  engine.unload("c", "late");
  engine.readInventory(false);
  t.is(engine.ledger.stateOf("c"), "uncertain");
});

test("a load reserves its memory before its order arrives", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "late");
  t.is(engine.ledger.freeMib, 40);
  t.false(engine.ledger.reserveLoad("b", 50));
});

test("a new agent reserves nothing before earlier orders have expired", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "late");
  engine.replaceAgent();
  engine.readInventory(false);
  t.false(engine.ledger.reserveLoad("b", 50));
  t.false(engine.ledger.reserveKv("s", 10));
  settle(engine);
  t.is(engine.ledger.freeMib, 40);
});

test("a load can't reserve the memory of a running sequence", (t) => {
  const engine = createSettled();
  engine.run(50, "now");
  t.false(engine.ledger.reserveLoad("c", 60));
});
