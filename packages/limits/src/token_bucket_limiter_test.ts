import test from "ava";
import fc from "fast-check";
import {
  type Delivery,
  LEASE_MS,
  LimiterCluster,
} from "./testing/limiter_cluster.ts";

const SEED = 20_261_204;
const RUNS = 1500;
const BURST = 1000;
const RATE_PER_S = 100;
const ENTRIES = 3;
const ROUNDING = 1e-6;
const MAX_ADMISSIONS = 50;

type Step = (fleet: LimiterCluster) => Promise<unknown> | unknown;

const entry = fc.integer({ min: 0, max: ENTRIES - 1 });
const tokens = fc.integer({ min: 1, max: 400 });
const fate = fc.constantFrom<Delivery>("arrives", "lost", "unanswered", "late");

/** Admits as much as every entry will, and uses it at once. */
async function spendAll(fleet: LimiterCluster): Promise<void> {
  for (let index = 0; index < fleet.entries.length; index += 1) {
    for (let size = BURST; size >= 1; size = Math.floor(size / 2)) {
      while (await fleet.admit(index, size)) {
        if (fleet.entries[index]!.admissions.length > MAX_ADMISSIONS) return;
      }
    }
    for (const { left } of [...fleet.entries[index]!.admissions]) {
      fleet.use(index, left);
      fleet.settle(index);
    }
  }
}

/** Stops an entry while the others go on, then spends all that is there. */
async function sleepThrough(
  fleet: LimiterCluster,
  sleeper: number,
  ms: number,
): Promise<void> {
  fleet.pause(sleeper);
  fleet.gone.add(fleet.entries[sleeper]!.holder);
  for (let round = 0; round < 3; round += 1) {
    for (let index = 0; index < fleet.entries.length; index += 1) {
      await fleet.admit(index, 1);
      await fleet.tick(index);
    }
    fleet.advance(ms);
  }
  fleet.resume(sleeper);
  await spendAll(fleet);
}

/** Steps in the proportion in which a run should have them. */
const step: fc.Arbitrary<[string, Step]> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(entry, tokens).map(([i, n]): [string, Step] => [
      `admit ${n} at ${i}`,
      (fleet) => fleet.admit(i, n),
    ]),
  },
  {
    weight: 6,
    arbitrary: fc.tuple(entry, tokens).map(([i, n]): [string, Step] => [
      `use ${n} at ${i}`,
      (fleet) => fleet.use(i, n),
    ]),
  },
  {
    weight: 3,
    arbitrary: entry.map((i): [string, Step] => [
      `settle at ${i}`,
      (fleet) => fleet.settle(i),
    ]),
  },
  {
    weight: 6,
    arbitrary: entry.map((i): [string, Step] => [
      `tick at ${i}`,
      (fleet) => fleet.tick(i),
    ]),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(10, 500, 2000, 7000, 14_000).map((
      ms,
    ): [string, Step] => [
      `advance ${ms}`,
      (fleet) => fleet.advance(ms),
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `pause ${i}`,
      (fleet) => {
        fleet.pause(i);
        // The platform may take a paused instance for a lost one.
        fleet.gone.add(fleet.entries[i]!.holder);
      },
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `resume ${i}`,
      (fleet) => fleet.resume(i),
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `replace ${i}`,
      (fleet) => fleet.replace(i),
    ]),
  },
  {
    weight: 1,
    arbitrary: fate.map((f): [string, Step] => [
      `table: ${f}`,
      (fleet) => {
        fleet.tableDelivery = f;
      },
    ]),
  },
  {
    weight: 1,
    arbitrary: fate.map((f): [string, Step] => [
      `messages: ${f}`,
      (fleet) => {
        fleet.messageDelivery = f;
      },
    ]),
  },
  {
    weight: 2,
    arbitrary: fate.map((f): [string, Step] => [
      `share writes: ${f}`,
      (fleet) => {
        fleet.shareWriteDelivery = f;
      },
    ]),
  },
  {
    weight: 3,
    arbitrary: fc.tuple(entry, fc.integer({ min: 500, max: 6000 })).map((
      [i, ms],
    ): [string, Step] => [
      `pause ${i} for three times ${ms}`,
      (fleet) => sleepThrough(fleet, i, ms),
    ]),
  },
  {
    weight: 4,
    arbitrary: fc.constant<[string, Step]>(["everyone spends all", spendAll]),
  },
  {
    weight: 2,
    arbitrary: fc.constant<[string, Step]>([
      "late writes arrive",
      (fleet) => fleet.deliverDelayed(),
    ]),
  },
);

test("no interleaving spends more than rate and burst", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 120 }),
      async (steps) => {
        const limit = { ratePerS: RATE_PER_S, burst: BURST };
        const fleet = new LimiterCluster(ENTRIES, limit);
        for (const [, run] of steps) await run(fleet);
        return fleet.lowestLevel >= -ROUNDING;
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

function createFleet(count: number): LimiterCluster {
  return new LimiterCluster(count, { ratePerS: RATE_PER_S, burst: BURST });
}

test("the first request of all finds the whole burst", async (t) => {
  const fleet = createFleet(2);
  t.true(await fleet.admit(0, BURST));
});

test("an entry without a share borrows from the one that has it", async (t) => {
  const fleet = createFleet(2);
  await fleet.admit(0, 1);
  t.true(await fleet.admit(1, 900));
});

test("a skewed load is not refused inside the rate", async (t) => {
  const fleet = createFleet(4);
  let refused = 0;
  for (let second = 0; second < 120; second += 1) {
    for (let index = 0; index < 4; index += 1) await fleet.tick(index);
    const busy = Math.floor(second / 30);
    if (!await fleet.admit(busy, RATE_PER_S * 0.95)) refused += 1;
    fleet.use(busy, RATE_PER_S);
    fleet.settle(busy);
    fleet.advance(1000);
  }
  t.is(refused, 0);
});

test("a holder that was paused past its lease spends nothing", async (t) => {
  const fleet = createFleet(2);
  await fleet.admit(0, 1);
  fleet.pause(0);
  fleet.advance(LEASE_MS + 1);
  fleet.resume(0);
  fleet.tableDelivery = "lost";
  t.false(await fleet.admit(0, 10));
});

test("the share of a lost entry comes back to the others", async (t) => {
  const fleet = createFleet(2);
  await fleet.admit(0, 1);
  await fleet.tick(1);
  fleet.replace(0);
  t.false(await fleet.admit(1, 300), "the share of a lost entry is not free");
  for (let round = 0; round < 30; round += 1) {
    await fleet.tick(1);
    fleet.advance(1000);
  }
  t.true(await fleet.admit(1, 300));
});

test("shares stay in use while the store is down for an hour", async (t) => {
  const fleet = createFleet(1);
  await fleet.admit(0, 1);
  fleet.settle(0);
  fleet.tableDelivery = "lost";
  const { keeper } = fleet.entries[0]!;
  for (let second = 0; second < 3600; second += 1) {
    fleet.advance(1000);
    keeper.extendLeaseDuringOutage(fleet.now);
  }
  t.true(await fleet.admit(0, BURST));
});

test("an outage seen only after a pause does not revive a lease", async (t) => {
  const fleet = createFleet(1);
  await fleet.admit(0, 1);
  fleet.advance(LEASE_MS + 1);
  fleet.tableDelivery = "lost";
  fleet.entries[0]!.keeper.extendLeaseDuringOutage(fleet.now);
  t.false(await fleet.admit(0, 10));
});

test("a giving write that arrives late gives nothing twice", async (t) => {
  const fleet = createFleet(2);
  await fleet.admit(0, 1);
  await fleet.admit(1, 1);
  fleet.shareWriteDelivery = "late";
  await fleet.tick(0);
  fleet.shareWriteDelivery = "arrives";
  await fleet.admit(0, 400);
  await fleet.tick(0);
  await fleet.deliverDelayed();
  fleet.settle(0);
  fleet.settle(0);
  fleet.advance(5000);
  await fleet.tick(1);
  await fleet.admit(1, 400);
  await fleet.tick(1);
  await spendAll(fleet);
  t.true(fleet.lowestLevel >= -ROUNDING, `level ${fleet.lowestLevel}`);
});

test("entries that race for a limit nobody has used both get in", async (t) => {
  const fleet = createFleet(4);
  const admitted = await Promise.all(
    [0, 1, 2, 3].map((i) => fleet.admit(i, 200)),
  );
  t.deepEqual(admitted, [true, true, true, true]);
});
