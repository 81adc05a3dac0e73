import test from "ava";
import { runSeed } from "./run_seed.ts";

const SIZES = { gateways: 2 };

// Seeds that once failed stay here, with a line on the cause.
for (const seed of [1, 2]) {
  test.serial(`seed ${seed}: no promise is broken`, async (t) => {
    const { violations: broken, sent } = await runSeed(seed, {
      ...SIZES,
      durationMs: 4000,
    });
    t.deepEqual(broken, []);
    t.true(sent > 0);
  });
}

const PLANTED = {
  runTwice: "at most once",
  passKeyOn: "no key is passed on",
  oldConfiguration: "a withdrawn key stops working",
} as const;

for (const planted of ["runTwice", "passKeyOn", "oldConfiguration"] as const) {
  test.serial(`planted on purpose: ${planted} is found`, async (t) => {
    const { violations: broken } = await runSeed(1, {
      ...SIZES,
      durationMs: 6000,
      planted,
    });
    t.true(
      broken.some(({ invariant: promise }) => promise === PLANTED[planted]),
    );
  });
}
