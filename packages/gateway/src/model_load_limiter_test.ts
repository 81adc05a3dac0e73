import test from "ava";
import fc from "fast-check";
import { ModelLoadLimiter } from "./model_load_limiter.ts";

test("loads begin under the weight store's ceiling in every five seconds", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: 2000 }), { minLength: 200 }),
      fc.constantFrom(1.1, 2.1, 8),
      (pauses, loadsPerS) => {
        let now = 0;
        const allowance = ModelLoadLimiter.create({
          clock: { now: () => now, wall: () => now },
        });
        const starts: number[] = [];
        for (const pause of pauses) {
          now += pause;
          while (allowance.tryAcquire(loadsPerS)) starts.push(now);
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

test("a burst of loads is spread by the rate", (t) => {
  let now = 0;
  const allowance = ModelLoadLimiter.create({
    clock: { now: () => now, wall: () => now },
  });
  t.true(allowance.tryAcquire(2));
  t.false(allowance.tryAcquire(2));
  now += 600;
  t.true(allowance.tryAcquire(2));
});
