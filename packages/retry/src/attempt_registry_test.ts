import test from "ava";
import fc from "fast-check";
import { AttemptRegistry } from "./attempt_registry.ts";

const SEED = 20_261_204;
const RUNS = 5000;
const SEQUENCES = 12;

function createKey(sequence: number) {
  return { entry: "entry-1", incarnation: 1, sequence };
}

test("an attempt runs at most once, and never after it was refused", (t) => {
  const sequence = fc.integer({ min: 1, max: SEQUENCES });
  const action = fc.constantFrom("claim", "claim", "ask", "finish");
  fc.assert(
    fc.property(
      fc.array(fc.tuple(action, sequence), { maxLength: 100 }),
      (steps) => {
        const registry = AttemptRegistry.create({ maxRecords: 4 });
        const runs = new Set<number>();
        const notRun = new Set<number>();
        for (const [name, number] of steps) {
          const key = createKey(number);
          if (name === "finish" && runs.has(number)) registry.finish(key);
          if (
            name === "ask" && registry.refuseUnlessClaimed(key) === "refused"
          ) {
            notRun.add(number);
          }
          if (name !== "claim") continue;
          const claim = registry.claim(key);
          if (claim === "refused") notRun.add(number);
          if (claim !== "run") continue;
          if (runs.has(number)) return false;
          runs.add(number);
        }
        return [...notRun].every((number) => !runs.has(number));
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("the number of records stays within its limit", (t) => {
  const registry = AttemptRegistry.create({ maxRecords: 10 });
  for (let sequence = 1; sequence <= 1000; sequence += 1) {
    registry.claim(createKey(sequence));
    registry.finish(createKey(sequence));
  }
  t.true(registry.size <= 10);
});

test("an attempt that arrives after a query of its state is refused", (t) => {
  const registry = AttemptRegistry.create({ maxRecords: 10 });
  t.is(registry.refuseUnlessClaimed(createKey(7)), "refused");
  t.is(registry.claim(createKey(7)), "refused");
});

test("attempts of another incarnation of an entry are independent", (t) => {
  const registry = AttemptRegistry.create({ maxRecords: 10 });
  registry.claim(createKey(1));
  t.is(registry.claim({ ...createKey(1), incarnation: 2 }), "run");
});
