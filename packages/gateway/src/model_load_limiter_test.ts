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
