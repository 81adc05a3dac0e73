import test from "ava";
import fc from "fast-check";
import { ModelLoadLimiter } from "./model_load_limiter.ts";

test("model loads stay below the weight store's limit in any five seconds", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 2000 }), { minLength: 200 }),
      fc.constantFrom(1.1, 2.1, 8),
      (pauses, loadsPerS) => {
        let now = 0;
        const limiter = ModelLoadLimiter.create({
          clock: { now: () => now, wall: () => now },
        });
        const starts: number[] = [];
        for (const pause of pauses) {
          now += pause;
          while (limiter.tryAcquire(loadsPerS)) starts.push(now);
        }
        return starts.every((start) => {
          const inWindow = starts.filter((at) =>
            at >= start && at < start + 5000
          );
          return inWindow.length <= loadsPerS * 5 * 1.1 + 3;
        });
      },
    ),
    { seed: 20261204, numRuns: 50 },
  );
  t.pass();
});

test("a burst of model loads is spread over time by the rate", (t) => {
  let now = 0;
  const limiter = ModelLoadLimiter.create({
    clock: { now: () => now, wall: () => now },
  });
  t.true(limiter.tryAcquire(2));
  t.false(limiter.tryAcquire(2));
  now += 600;
  t.true(limiter.tryAcquire(2));
});

/** Starts loads at two gateways that hold the lease in turn, as fast as allowed. */
function countWorstWindow(
  terms: readonly (readonly number[])[],
  { loadsPerS, tellsTerm }: { loadsPerS: number; tellsTerm: boolean },
): number {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const limiters = [1, 2].map(() => ModelLoadLimiter.create({ clock }));
  const starts: number[] = [];
  for (const [index, pauses] of terms.entries()) {
    const limiter = limiters[index % 2]!;
    if (tellsTerm) limiter.followTerm(index + 1);
    for (const pause of pauses) {
      now += pause;
      while (limiter.tryAcquire(loadsPerS)) starts.push(now);
    }
  }
  const countFrom = (start: number) =>
    starts.filter((at) => at >= start && at < start + 5000).length;
  return Math.max(0, ...starts.map(countFrom));
}

test("two gateways that hold the lease in turn stay below the weight store's limit together", (t) => {
  const terms = fc.array(
    fc.array(fc.integer({ min: 0, max: 1500 }), { maxLength: 20 }),
    { minLength: 2, maxLength: 12 },
  );
  const isBounded = (tellsTerm: boolean) =>
    fc.check(
      fc.property(terms, fc.constantFrom(1.1, 2.1, 8), (held, loadsPerS) =>
        countWorstWindow(held, { loadsPerS, tellsTerm }) <=
          loadsPerS * 5 * 1.1 + 3),
      { seed: 20261206, numRuns: 300 },
    );
  t.false(isBounded(true).failed);
  // Planted defect: a new holder begins with the tokens of its idle time.
  t.true(isBounded(false).failed);
});

test("a service without a limit leaves the limit of another one as it is", (t) => {
  const clock = { now: () => 0, wall: () => 0 };
  const limiter = ModelLoadLimiter.create({ clock });
  limiter.followTerm(2);
  t.true(limiter.tryAcquire(Infinity));
  t.false(limiter.tryAcquire(2), "the term begins without tokens");
  t.true(limiter.tryAcquire(Infinity));
});

test("loads of a service without a limit give no tokens to another one", (t) => {
  let now = 0;
  const limiter = ModelLoadLimiter.create({
    clock: { now: () => now, wall: () => now },
  });
  limiter.followTerm(2);
  now += 600;
  t.true(limiter.tryAcquire(Infinity));
  t.deepEqual([limiter.tryAcquire(2), limiter.tryAcquire(2)], [true, false]);
});
