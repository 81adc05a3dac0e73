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

type Step = (cluster: LimiterCluster) => Promise<unknown> | unknown;

const entry = fc.integer({ min: 0, max: ENTRIES - 1 });
const tokens = fc.integer({ min: 1, max: 400 });
const delivery = fc.constantFrom<Delivery>(
  "arrives",
  "lost",
  "unanswered",
  "late",
);

/** Admits and uses all tokens that the entries grant. */
async function spendAll(cluster: LimiterCluster): Promise<void> {
  for (let index = 0; index < cluster.entries.length; index += 1) {
    for (let size = BURST; size >= 1; size = Math.floor(size / 2)) {
      while (await cluster.admit(index, size)) {
        if (cluster.entries[index]!.admissions.length > MAX_ADMISSIONS) return;
      }
    }
    for (const { left } of [...cluster.entries[index]!.admissions]) {
      cluster.use(index, left);
      cluster.settle(index);
    }
  }
}

/** Pauses an entry while the others continue, then spends all tokens. */
async function spendAfterPause(
  cluster: LimiterCluster,
  pausedIndex: number,
  ms: number,
): Promise<void> {
  cluster.pause(pausedIndex);
  cluster.gone.add(cluster.entries[pausedIndex]!.holder);
  for (let round = 0; round < 3; round += 1) {
    for (let index = 0; index < cluster.entries.length; index += 1) {
      await cluster.admit(index, 1);
      await cluster.tick(index);
    }
    cluster.advance(ms);
  }
  cluster.resume(pausedIndex);
  await spendAll(cluster);
}

/** Random steps of a run, weighted by how often each should occur. */
const step: fc.Arbitrary<[string, Step]> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(entry, tokens).map(([i, n]): [string, Step] => [
      `admit ${n} at ${i}`,
      (cluster) => cluster.admit(i, n),
    ]),
  },
  {
    weight: 6,
    arbitrary: fc.tuple(entry, tokens).map(([i, n]): [string, Step] => [
      `use ${n} at ${i}`,
      (cluster) => cluster.use(i, n),
    ]),
  },
  {
    weight: 3,
    arbitrary: entry.map((i): [string, Step] => [
      `settle at ${i}`,
      (cluster) => cluster.settle(i),
    ]),
  },
  {
    weight: 6,
    arbitrary: entry.map((i): [string, Step] => [
      `tick at ${i}`,
      (cluster) => cluster.tick(i),
    ]),
  },
  {
    weight: 4,
    arbitrary: fc.constantFrom(10, 500, 2000, 7000, 14_000).map((
      ms,
    ): [string, Step] => [
      `advance ${ms}`,
      (cluster) => cluster.advance(ms),
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `pause ${i}`,
      (cluster) => {
        cluster.pause(i);
        // The platform may treat a paused instance as lost.
        cluster.gone.add(cluster.entries[i]!.holder);
      },
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `resume ${i}`,
      (cluster) => cluster.resume(i),
    ]),
  },
  {
    weight: 1,
    arbitrary: entry.map((i): [string, Step] => [
      `replace ${i}`,
      (cluster) => cluster.replace(i),
    ]),
  },
  {
    weight: 1,
    arbitrary: delivery.map((f): [string, Step] => [
      `table: ${f}`,
      (cluster) => {
        cluster.tableDelivery = f;
      },
    ]),
  },
  {
    weight: 1,
    arbitrary: delivery.map((f): [string, Step] => [
      `messages: ${f}`,
      (cluster) => {
        cluster.messageDelivery = f;
      },
    ]),
  },
  {
    weight: 2,
    arbitrary: delivery.map((f): [string, Step] => [
      `share writes: ${f}`,
      (cluster) => {
        cluster.shareWriteDelivery = f;
      },
    ]),
  },
  {
    weight: 3,
    arbitrary: fc.tuple(entry, fc.integer({ min: 500, max: 6000 })).map((
      [i, ms],
    ): [string, Step] => [
      `pause ${i} for three times ${ms}`,
      (cluster) => spendAfterPause(cluster, i, ms),
    ]),
  },
  {
    weight: 4,
    arbitrary: fc.constant<[string, Step]>([
      "all entries spend all tokens",
      spendAll,
    ]),
  },
  {
    weight: 2,
    arbitrary: fc.constant<[string, Step]>([
      "delayed writes arrive",
      (cluster) => cluster.deliverDelayed(),
    ]),
  },
);

test("no interleaving of requests and faults spends more than rate and burst", async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { minLength: 20, maxLength: 120 }),
      async (steps) => {
        const limit = { ratePerS: RATE_PER_S, burst: BURST };
        const cluster = new LimiterCluster(ENTRIES, limit);
        for (const [, run] of steps) await run(cluster);
        return cluster.lowestLevel >= -ROUNDING;
      },
    ),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

function createCluster(count: number): LimiterCluster {
  return new LimiterCluster(count, { ratePerS: RATE_PER_S, burst: BURST });
}

test("the very first request finds the whole burst available", async (t) => {
  const cluster = createCluster(2);
  t.true(await cluster.admit(0, BURST));
});

test("an entry without a share borrows from the entry that holds it", async (t) => {
  const cluster = createCluster(2);
  await cluster.admit(0, 1);
  t.true(await cluster.admit(1, 900));
});

test("skewed load within the rate is not refused", async (t) => {
  const cluster = createCluster(4);
  let refused = 0;
  for (let second = 0; second < 120; second += 1) {
    for (let index = 0; index < 4; index += 1) await cluster.tick(index);
    const busy = Math.floor(second / 30);
    if (!await cluster.admit(busy, RATE_PER_S * 0.95)) refused += 1;
    cluster.use(busy, RATE_PER_S);
    cluster.settle(busy);
    cluster.advance(1000);
  }
  t.is(refused, 0);
});

test("a holder that was paused beyond its lease spends nothing", async (t) => {
  const cluster = createCluster(2);
  await cluster.admit(0, 1);
  cluster.pause(0);
  cluster.advance(LEASE_MS + 1);
  cluster.resume(0);
  cluster.tableDelivery = "lost";
  t.false(await cluster.admit(0, 10));
});

test("the share of a lost entry is reclaimed by the others", async (t) => {
  const cluster = createCluster(2);
  await cluster.admit(0, 1);
  await cluster.tick(1);
  cluster.replace(0);
  t.false(
    await cluster.admit(1, 300),
    "the share of a lost entry is not yet free",
  );
  for (let round = 0; round < 30; round += 1) {
    await cluster.tick(1);
    cluster.advance(1000);
  }
  t.true(await cluster.admit(1, 300));
});

test("shares stay usable while the store is down for an hour", async (t) => {
  const cluster = createCluster(1);
  await cluster.admit(0, 1);
  cluster.settle(0);
  cluster.tableDelivery = "lost";
  const { shareManager } = cluster.entries[0]!;
  for (let second = 0; second < 3600; second += 1) {
    cluster.advance(1000);
    shareManager.extendLeaseDuringOutage(cluster.now);
  }
  t.true(await cluster.admit(0, BURST));
});

test("an outage confirmed after a lease has lapsed does not restore it", async (t) => {
  const cluster = createCluster(1);
  await cluster.admit(0, 1);
  cluster.advance(LEASE_MS + 1);
  cluster.tableDelivery = "lost";
  cluster.entries[0]!.shareManager.extendLeaseDuringOutage(cluster.now);
  t.false(await cluster.admit(0, 10));
});

test("a delayed write that gives parts away does not give them twice", async (t) => {
  const cluster = createCluster(2);
  await cluster.admit(0, 1);
  await cluster.admit(1, 1);
  cluster.shareWriteDelivery = "late";
  await cluster.tick(0);
  cluster.shareWriteDelivery = "arrives";
  await cluster.admit(0, 400);
  await cluster.tick(0);
  await cluster.deliverDelayed();
  cluster.settle(0);
  cluster.settle(0);
  cluster.advance(5000);
  await cluster.tick(1);
  await cluster.admit(1, 400);
  await cluster.tick(1);
  await spendAll(cluster);
  t.true(cluster.lowestLevel >= -ROUNDING, `level ${cluster.lowestLevel}`);
});

test("entries that race for an unused limit all admit their requests", async (t) => {
  const cluster = createCluster(4);
  const admitted = await Promise.all(
    [0, 1, 2, 3].map((i) => cluster.admit(i, 200)),
  );
  t.deepEqual(admitted, [true, true, true, true]);
});

// Requests borrowed one after another, and the last ones were refused.
test("a rush at an entry without a share of its own is admitted within the rate", async (t) => {
  const cluster = new LimiterCluster(2, { ratePerS: 1000, burst: 100_000 });
  await cluster.admit(0, 1);
  cluster.messageMs = 30;
  const rush = Array.from({ length: 40 }, () => cluster.admit(1, 10, 500));
  const admitted = await cluster.pass(Promise.all(rush));
  t.is(admitted.filter((isAdmitted) => isAdmitted).length, rush.length);
  t.true(cluster.now <= 500, `after ${cluster.now} ms`);
});
