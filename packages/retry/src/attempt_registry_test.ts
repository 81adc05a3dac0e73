import test from "ava";
import fc from "fast-check";
import { AttemptRegistry } from "./attempt_registry.ts";

const SEED = 20_261_204;
const RUNS = 5000;
const SEQUENCES = 12;

function createKey(sequence: number) {
  return { entry: "entry-1", incarnation: 1, sequence };
}

test("an attempt runs once, and never after it was called not run", (t) => {
  const sequence = fc.integer({ min: 1, max: SEQUENCES });
  const action = fc.constantFrom("claim", "claim", "ask", "finish");
  fc.assert(
    fc.property(
      fc.array(fc.tuple(action, sequence), { maxLength: 100 }),
      (steps) => {
        const log = AttemptRegistry.create({ maxRecords: 4 });
        const runs = new Set<number>();
        const notRun = new Set<number>();
        for (const [name, number] of steps) {
          const key = createKey(number);
          if (name === "finish" && runs.has(number)) log.finish(key);
          if (name === "ask" && log.refuseUnlessClaimed(key) === "refused") {
            notRun.add(number);
          }
          if (name !== "claim") continue;
          const claim = log.claim(key);
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

test("records stay bounded", (t) => {
  const log = AttemptRegistry.create({ maxRecords: 10 });
  for (let sequence = 1; sequence <= 1000; sequence += 1) {
    log.claim(createKey(sequence));
    log.finish(createKey(sequence));
  }
  t.true(log.size <= 10);
});

test("a late attempt is refused after it was asked about", (t) => {
  const log = AttemptRegistry.create({ maxRecords: 10 });
  t.is(log.refuseUnlessClaimed(createKey(7)), "refused");
  t.is(log.claim(createKey(7)), "refused");
});

test("the next incarnation of an entry begins anew", (t) => {
  const log = AttemptRegistry.create({ maxRecords: 10 });
  log.claim(createKey(1));
  t.is(log.claim({ ...createKey(1), incarnation: 2 }), "run");
});
