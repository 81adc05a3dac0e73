import test from "ava";
import fc from "fast-check";
import { Lease } from "./lease.ts";
import { MemoryPlatform } from "./memory_platform.ts";
import type { TableStore } from "./platform.ts";

const DURATION_MS = 1000;
const SEED = 20_261_204;
const RUNS = 2000;

function createLeases(count: number) {
  const state = { now: 0 };
  const platform = MemoryPlatform.create();
  const leases = Array.from({ length: count }, (_, index) =>
    Lease.create({
      table: platform.table,
      key: "duty",
      holder: `holder-${index}`,
      durationMs: DURATION_MS,
      clock: { now: () => state.now, wall: () => state.now },
    }));
  return { state, platform, leases };
}

test("at most one process holds the lease under pauses and store faults", async (t) => {
  const holder = fc.integer({ min: 0, max: 2 });
  const step = fc.oneof(
    holder.map((index) => ({ kind: "renew" as const, index })),
    fc.integer({ min: 1, max: 2500 }).map((ms) => ({
      kind: "advance" as const,
      ms,
    })),
    fc.constantFrom("none" as const, "down" as const, "loseAnswers" as const)
      .map((fault) => ({ kind: "fault" as const, fault })),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 60 }), async (steps) => {
      const { state, platform, leases } = createLeases(3);
      for (const action of steps) {
        if (action.kind === "renew") await leases[action.index]!.renew();
        if (action.kind === "advance") state.now += action.ms;
        if (action.kind === "fault") platform.fault = action.fault;
        if (leases.filter(({ held }) => held).length > 1) return false;
      }
      return true;
    }),
    { seed: SEED, numRuns: RUNS },
  );
  t.pass();
});

test("a holder that is paused for longer than its lease loses it to another", async (t) => {
  const { state, leases } = createLeases(2);
  const [first, second] = leases;
  t.true(await first!.renew());
  t.false(await second!.renew());
  state.now += 3 * DURATION_MS;
  t.false(first!.held);
  t.true(await second!.renew());
  t.false(await first!.renew());
  t.true(second!.fencingToken > first!.fencingToken);
});

test("a process that reads the lease for the first time doesn't take it over", async (t) => {
  const { state, leases } = createLeases(2);
  await leases[0]!.renew();
  state.now += 10 * DURATION_MS;
  t.false(
    await leases[1]!.renew(),
    "one read doesn't show that the row is unchanged",
  );
});

function createTimedLeases() {
  const state = { now: 0 };
  const platform = MemoryPlatform.create();
  const [first, second] = ["a", "b"].map((holder) =>
    Lease.create({
      table: platform.table,
      key: "duty",
      holder,
      durationMs: 600,
      takeoverMs: 850,
      clock: { now: () => state.now, wall: () => state.now },
    })
  );
  return { state, first: first!, second: second! };
}

test("another process takes over an unrenewed lease after the take-over time", async (t) => {
  const { state, first, second } = createTimedLeases();
  t.true(await first.renew());
  t.false(await second.renew());
  state.now = 840;
  t.false(await second.renew());
  state.now = 860;
  t.false(first.held);
  t.true(await second.renew());
});

test("a released lease is acquired sooner, with a higher fencing token", async (t) => {
  const { state, first, second } = createTimedLeases();
  await first.renew();
  await first.release();
  t.false(first.held);
  t.false(await second.renew());
  state.now = 260;
  t.true(await second.renew());
  t.is(second.fencingToken, 2);
});

test("a lease that lapsed while its holder could not renew it is released and acquired sooner", async (t) => {
  const { state, first, second } = createTimedLeases();
  await first.renew();
  state.now = 700;
  t.false(first.held);
  t.true(await first.release());
  t.false(await second.renew());
  state.now = 700 + 260;
  t.true(await second.renew());
});

test("the release of a former holder leaves its successor's lease alone", async (t) => {
  const { state, first, second } = createTimedLeases();
  await first.renew();
  await second.renew();
  state.now = 860;
  t.true(await second.renew());
  t.true(await first.release());
  t.true(await second.renew());
  t.true(second.held);
});

test("a lease that lapsed between two renewals is held for a new term", async (t) => {
  const { state, first } = createTimedLeases();
  await first.renew();
  state.now = 300;
  await first.renew();
  t.is(first.term, 1);
  state.now = 300 + 650;
  await first.renew();
  t.true(first.held);
  t.is(first.term, 2);
});

test("a renewal whose response arrives after the release doesn't hold the lease", async (t) => {
  const platform = MemoryPlatform.create();
  let deliver = () => {};
  let isDelayed = false;
  const table: TableStore = {
    epoch: () => platform.table.epoch(),
    get: (key) => platform.table.get(key),
    scan: (prefix) => platform.table.scan(prefix),
    commit: async (transaction) => {
      const result = await platform.table.commit(transaction);
      if (isDelayed) {
        isDelayed = false;
        await new Promise<void>((resolve) => deliver = resolve);
      }
      return result;
    },
  };
  const lease = Lease.create({
    table,
    key: "duty",
    holder: "a",
    durationMs: 600,
    clock: { now: () => 0, wall: () => 0 },
  });
  await lease.renew();
  isDelayed = true;
  const renewal = lease.renew();
  await new Promise((resolve) => setImmediate(resolve));
  t.true(await lease.release());
  deliver();
  t.false(await renewal);
  t.false(lease.held, "another process may take the released lease");
});

type RestoreStep =
  | { readonly kind: "renew"; readonly index: number }
  | { readonly kind: "advance"; readonly ms: number }
  | { readonly kind: "copy" }
  | { readonly kind: "restore"; readonly during: "now" | "next write" };

/**
 * Plays steps with two processes that order something whenever they hold the
 * lease. Returns what a replica that saw all orders would object to.
 */
async function playRestores(
  steps: readonly RestoreStep[],
): Promise<string | undefined> {
  const state = { now: 0 };
  const platform = MemoryPlatform.create();
  let copy = platform.copyTable();
  let isRestoreDue = false;
  const restoreIfDue = () => {
    if (isRestoreDue) platform.restoreTable(copy);
    isRestoreDue = false;
  };
  const table: TableStore = {
    ...platform.table,
    commit: (request) => {
      restoreIfDue();
      return platform.table.commit(request);
    },
  };
  const clock = { now: () => state.now, wall: () => state.now };
  const leases = ["a", "b"].map((holder) =>
    Lease.create({
      table,
      key: "duty",
      holder,
      durationMs: 600,
      takeoverMs: 850,
      clock,
      isFirstStart: false,
    })
  );
  let last = { holder: -1, token: -1 };
  for (const step of steps) {
    if (step.kind === "renew") await leases[step.index]!.renew();
    if (step.kind === "advance") state.now += step.ms;
    if (step.kind === "copy") copy = platform.copyTable();
    if (step.kind === "restore") {
      isRestoreDue = true;
      if (step.during === "now") restoreIfDue();
    }
    const holders = [0, 1].filter((index) => leases[index]!.held);
    if (holders.length > 1) return "two processes hold the lease";
    for (const holder of holders) {
      const token = leases[holder]!.fencingToken;
      if (token < last.token) return `token ${token} after ${last.token}`;
      if (token === last.token && holder !== last.holder) {
        return `two holders with token ${token}`;
      }
      last = { holder, token };
    }
  }
  return undefined;
}

// Fencing tokens went back with the row that the lease was kept in.
test("a restore of the table around a change of the holder leaves tokens that only rise", async (t) => {
  const renewAll = [0, 1].map((index) => ({ kind: "renew" as const, index }));
  const steps: RestoreStep[] = [
    { kind: "renew", index: 0 },
    { kind: "copy" },
    { kind: "renew", index: 1 },
    { kind: "advance", ms: 900 },
    { kind: "renew", index: 1 },
    { kind: "advance", ms: 300 },
    { kind: "restore", during: "now" },
    ...renewAll,
    { kind: "advance", ms: 900 },
    ...renewAll,
    { kind: "advance", ms: 900 },
    ...renewAll,
  ];
  t.is(await playRestores(steps), undefined);
});

test("no interleaving of renewals and restores gives two holders or a token that goes back", async (t) => {
  const step = fc.oneof(
    fc.integer({ min: 0, max: 1 }).map((index) => ({
      kind: "renew" as const,
      index,
    })),
    fc.constantFrom(100, 300, 700, 900).map((ms) => ({
      kind: "advance" as const,
      ms,
    })),
    fc.constant({ kind: "copy" as const }),
    fc.constantFrom("now" as const, "next write" as const).map((during) => ({
      kind: "restore" as const,
      during,
    })),
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 40 }),
      async (steps) => t.is(await playRestores(steps), undefined),
    ),
    { seed: SEED, numRuns: RUNS },
  );
});
