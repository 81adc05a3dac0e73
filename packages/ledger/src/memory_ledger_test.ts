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
const fate = fc.constantFrom("now", "now", "late", "lost", "doubled");

const step: fc.Arbitrary<Step> = fc.oneof(
  fc.tuple(model, fate).map(([[name, mib], f]): Step => [
    `load ${name} ${f}`,
    (engine) => engine.load(name, mib, f),
  ]),
  fc.tuple(model, fate).map(([[name], f]): Step => [
    `unload ${name} ${f}`,
    (engine) => engine.unload(name, f),
  ]),
  fc.tuple(fc.integer({ min: 5, max: 30 }), fc.constantFrom("now", "late"))
    .map(([mib, f]): Step => [
      `run ${mib} ${f}`,
      (engine) => engine.run(mib, f),
    ]),
  fc.constant<Step>(["end", (engine) => engine.end()]),
  fc.boolean().map((isLate): Step => [
    `inventory ${isLate}`,
    (engine) => engine.readInventory(isLate),
  ]),
  fc.constantFrom(100, 1000, LIFETIME_MS, LIFETIME_MS + 1).map((ms): Step => [
    `advance ${ms}`,
    (engine) => engine.advance(ms),
  ]),
  fc.constant<Step>(["deliver", (engine) => engine.deliverOne()]),
  fc.constant<Step>(["settle", settle]),
  fc.constant<Step>(["replace", (engine) => engine.replaceAgent()]),
);

/** Lets all orders arrive and the ledger see the result. */
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

test("an unload frees nothing before an inventory lacks the model", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "now");
  settle(engine);
  engine.unload("c", "lost");
  t.is(engine.ledger.freeMib, 40);
  settle(engine);
  t.is(engine.ledger.stateOf("c"), "ready", "the lost order did nothing");
});

test("a model with an unload under way is not ready", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "now");
  settle(engine);
  engine.unload("c", "late");
  engine.readInventory(false);
  t.is(engine.ledger.stateOf("c"), "uncertain");
});

test("a load claims its memory before the order is answered", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "late");
  t.is(engine.ledger.freeMib, 40);
  t.false(engine.ledger.reserveLoad("b", 50));
});

test("a new agent grants nothing before earlier orders are void", (t) => {
  const engine = createSettled();
  engine.load("c", 60, "late");
  engine.replaceAgent();
  engine.readInventory(false);
  t.false(engine.ledger.reserveLoad("b", 50));
  t.false(engine.ledger.reserveKv("s", 10));
  settle(engine);
  t.is(engine.ledger.freeMib, 40);
});

test("a running sequence's memory can't be taken by a load", (t) => {
  const engine = createSettled();
  engine.run(50, "now");
  t.false(engine.ledger.reserveLoad("c", 60));
});
