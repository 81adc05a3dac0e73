import test from "ava";
import type { OrganisationLimit } from "@banyanspool/types";
import { SlidingWindowLimiter } from "./sliding_window_limiter.ts";

const LIMIT: OrganisationLimit = {
  name: "acme",
  ratePerS: 1000,
  burst: 2000,
  unit: "tokens",
  defaultRequestTokens: 10,
};
const WINDOW_MS = 8000;
/** Rate over a window plus one burst, in tokens. */
const ALLOWED = 10_000;

function createLimiter(
  {
    isFirstStart = true,
    entries = 1,
    slackTokens = 1000,
    random = (): number => 0.999,
  } = {},
) {
  let now = 0;
  const limiter = SlidingWindowLimiter.create({
    clock: { now: () => now, wall: () => now },
    windowMs: WINDOW_MS,
    isFirstStart,
    initialBurstShare: 0.25,
    overage: 0.1,
    slackTokens,
    liveEntryCount: () => entries,
    random,
  });
  const receiveReport = (
    admitted: number,
    incarnation = 1,
    inWindow = admitted,
  ) =>
    limiter.recordReport({
      instance: "other",
      incarnation,
      uses: new Map([["acme", { admitted, inWindow }]]),
      knowsWindow: true,
    });
  return {
    limiter,
    receiveReport,
    advance: (ms: number) => now += ms,
    now: () => now,
  };
}

/** A limiter that has counted the whole of the last window. */
function createSettled(options: Parameters<typeof createLimiter>[0] = {}) {
  const created = createLimiter(options);
  created.limiter.take(LIMIT, 0);
  created.advance(2 * WINDOW_MS);
  created.limiter.take(LIMIT, 0);
  created.receiveReport(0);
  return created;
}

test("no window admits more than rate, burst and one request of an organisation that sends without pause", (t) => {
  const { limiter, advance, now, receiveReport } = createLimiter();
  const taken: { at: number; tokens: number }[] = [];
  for (let ms = 0; ms < 40_000; ms += 10) {
    if (limiter.take(LIMIT, 200).kind === "taken") {
      taken.push({ at: now(), tokens: 200 });
    }
    limiter.markReported();
    receiveReport(0);
    advance(10);
  }
  for (const { at: from } of taken) {
    const sum = taken
      .filter(({ at }) => at >= from && at < from + WINDOW_MS)
      .reduce((total, { tokens }) => total + tokens, 0);
    t.true(sum <= ALLOWED + 200, `${sum} from ${from} ms`);
  }
});

test("steady traffic above the rate but within rate and burst of each window is not refused", (t) => {
  const { limiter, advance, receiveReport } = createSettled();
  for (let ms = 0; ms < 40_000; ms += 100) {
    t.is(limiter.take(LIMIT, 120).kind, "taken", `at ${ms} ms`);
    limiter.markReported();
    receiveReport(0);
    advance(100);
  }
});

test("on a first start the whole allowance of a window is available", (t) => {
  const { limiter } = createLimiter();
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
  limiter.markReported();
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
  limiter.markReported();
  t.is(limiter.take(LIMIT, 500).kind, "short");
});

test("after a restart of all entries, an entry without reports starts with a part of the burst and reaches the whole allowance within a window", (t) => {
  const { limiter, advance } = createLimiter({ isFirstStart: false });
  const early = limiter.take(LIMIT, 500);
  if (early.kind !== "learning") return t.fail("taken too early");
  advance(early.waitMs);
  t.is(limiter.take(LIMIT, 500).kind, "taken");
  limiter.markReported();
  limiter.take(LIMIT, 1000);
  limiter.markReported();
  t.is(limiter.take(LIMIT, 1000).kind, "short");
  advance(WINDOW_MS);
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
});

test("an entry added while an organisation is at its limit adopts the usage of the last window", (t) => {
  const settled = createSettled();
  for (let i = 0; i < 20; i += 1) {
    settled.limiter.take(LIMIT, ALLOWED / 20);
    settled.limiter.markReported();
  }
  const added = createLimiter({ isFirstStart: false });
  t.is(added.limiter.take(LIMIT, 200).kind, "learning");
  added.limiter.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: settled.limiter.currentUsage(),
    knowsWindow: settled.limiter.knowsWindow,
  });
  t.is(added.limiter.take(LIMIT, 200).kind, "short");
  settled.advance(WINDOW_MS / 2);
  added.advance(WINDOW_MS / 2);
  added.limiter.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: settled.limiter.currentUsage(),
    knowsWindow: settled.limiter.knowsWindow,
  });
  t.is(
    added.limiter.take(LIMIT, 200).kind,
    "short",
    "the same as at the settled entry",
  );
});

test("usage reported before an organisation's first request here counts at that request", (t) => {
  const { limiter } = createLimiter({ isFirstStart: false });
  limiter.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: new Map([["acme", { admitted: 0, inWindow: ALLOWED }]]),
    knowsWindow: true,
  });
  t.is(limiter.take(LIMIT, 200).kind, "short");
});

test("an organisation's first request at another entry: usage of the last window counts, earlier usage doesn't", (t) => {
  for (const pauseMs of [0, 2 * WINDOW_MS]) {
    const { limiter, receiveReport, advance } = createLimiter();
    advance(2 * WINDOW_MS);
    receiveReport(ALLOWED);
    advance(pauseMs);
    receiveReport(ALLOWED, 1, pauseMs === 0 ? ALLOWED : 0);
    const expected = pauseMs === 0 ? "short" : "taken";
    t.is(limiter.take(LIMIT, 500).kind, expected);
  }
});

test("an added entry refuses nothing inside the limit once reports show unused allowance", (t) => {
  const { limiter, receiveReport } = createLimiter({ isFirstStart: false });
  receiveReport(0);
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
});

test("small bookings are admitted while large documents fill the window", (t) => {
  const { limiter } = createSettled();
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
  limiter.markReported();
  t.is(limiter.take(LIMIT, ALLOWED / 2).kind, "taken");
  t.is(limiter.take(LIMIT, 500).kind, "short");
  t.is(limiter.take(LIMIT, 10).kind, "taken");
});

test("a refusal returns the time until enough tokens have left the window", (t) => {
  const { limiter, advance, receiveReport } = createSettled();
  limiter.take(LIMIT, 2000);
  limiter.markReported();
  advance(1000);
  limiter.take(LIMIT, 4000);
  limiter.markReported();
  limiter.take(LIMIT, 4000);
  limiter.markReported();
  receiveReport(0);
  const short = limiter.take(LIMIT, 500);
  if (short.kind !== "short") return t.fail("taken beyond the limit");
  advance(short.waitMs);
  receiveReport(0);
  t.is(limiter.take(LIMIT, 500).kind, "taken");
  t.true(Math.abs(short.waitMs - (WINDOW_MS - 1000)) <= WINDOW_MS / 64);
});

test("tokens admitted by another entry count here", (t) => {
  const { limiter, receiveReport } = createSettled();
  receiveReport(ALLOWED - 100);
  t.is(limiter.take(LIMIT, 100).kind, "taken");
  limiter.markReported();
  receiveReport(ALLOWED);
  t.is(limiter.take(LIMIT, 200).kind, "short");
});

test("all tokens in the first report of a new entry count", (t) => {
  const { limiter, advance, receiveReport } = createLimiter();
  limiter.take(LIMIT, 0);
  advance(2 * WINDOW_MS);
  receiveReport(ALLOWED);
  t.is(limiter.take(LIMIT, 500).kind, "short");
});

test("the first report of an older entry counts only its last window", (t) => {
  const { limiter, advance, receiveReport } = createLimiter();
  limiter.take(LIMIT, 0);
  advance(2 * WINDOW_MS);
  receiveReport(50 * ALLOWED, 1, 1000);
  t.is(limiter.take(LIMIT, 500).kind, "taken");
});

test("the totals of a restarted entry count from zero again", (t) => {
  const { limiter, receiveReport } = createSettled();
  receiveReport(ALLOWED / 2);
  receiveReport(100, 2);
  t.is(
    limiter.take(LIMIT, 1000).kind,
    "taken",
    "counts 100 more tokens, no refund",
  );
  receiveReport(ALLOWED / 2, 2);
  t.is(limiter.take(LIMIT, 200).kind, "short");
});

test("in a partition of two entries each side spends half of the limit", (t) => {
  const { limiter, advance } = createSettled();
  let used = 0;
  advance(1600);
  for (let ms = 1600; ms < 9000; ms += 10) {
    if (limiter.take(LIMIT, 200).kind === "taken") used += 200;
    limiter.markReported();
    advance(10);
  }
  t.true(used <= ALLOWED / 2 + 200, `used ${used}`);
  t.true(used >= ALLOWED / 2);
});

test("the share assumed for a silent entry is released when its report shows no usage", (t) => {
  const { limiter, receiveReport, advance } = createSettled();
  limiter.take(LIMIT, ALLOWED / 2);
  limiter.markReported();
  advance(6000);
  t.is(limiter.take(LIMIT, 600).kind, "short");
  receiveReport(0);
  t.is(limiter.take(LIMIT, 600).kind, "taken");
});

test("many entries near the limit don't all spend the same remainder", (t) => {
  const entries = 30;
  const random = createRandom(20261204);
  const all = Array.from(
    { length: entries },
    () => createSettled({ entries, random }),
  );
  for (const { receiveReport } of all) receiveReport(ALLOWED * 0.8);
  let taken = 0;
  for (const { limiter } of all) {
    for (let i = 0; i < 3; i += 1) {
      if (limiter.take(LIMIT, 500).kind === "taken") taken += 500;
    }
  }
  const remainder = ALLOWED * 0.2;
  const tolerance = ALLOWED * 0.1 + 1000;
  t.true(taken <= remainder + tolerance, `${taken} of ${remainder} left`);
  t.true(taken > 0);
});

test("documents at a few of many entries are not refused far from the limit", (t) => {
  const { limiter, advance, receiveReport } = createSettled({ entries: 68 });
  const tokens = ALLOWED * 0.02;
  let reported = 0;
  for (let taken = 0; taken < ALLOWED * 0.5; taken += 2 * tokens) {
    t.is(limiter.take(LIMIT, tokens).kind, "taken", `${taken} tokens used`);
    limiter.markReported();
    reported += tokens;
    receiveReport(reported);
    advance(20);
  }
});

test("ordinary documents of a large organisation don't count as small requests at any of many entries", (t) => {
  const large = { ...LIMIT, ratePerS: 100_000, burst: 200_000 };
  const allowed = 1_000_000;
  const random = createRandom(20261204);
  const all = Array.from(
    { length: 30 },
    () => createLimiter({ entries: 30, random, slackTokens: 110_000 }),
  );
  let taken = 0;
  for (const { limiter } of all) {
    limiter.take(large, 0);
    limiter.recordReport({
      instance: "other",
      incarnation: 1,
      uses: new Map([["acme", { admitted: allowed, inWindow: allowed }]]),
      knowsWindow: true,
    });
    for (let i = 0; i < 4; i += 1) {
      if (limiter.take(large, 9000).kind === "taken") taken += 9000;
    }
  }
  t.true(taken <= allowed * 0.1 + 110_000, `${taken} beyond`);
});

test("a raised limit applies at once, a lowered one after a window", (t) => {
  const { limiter, receiveReport, advance } = createSettled();
  limiter.take(LIMIT, 9000);
  limiter.markReported();
  const raised = { ...LIMIT, ratePerS: 2000 };
  t.is(limiter.take(raised, 5000).kind, "taken");
  limiter.markReported();
  const lowered = { ...LIMIT, ratePerS: 100 };
  t.is(limiter.take(lowered, 500).kind, "taken");
  limiter.markReported();
  advance(WINDOW_MS / 2);
  receiveReport(0);
  t.is(limiter.take(lowered, 500).kind, "short");
  advance(WINDOW_MS);
  receiveReport(0);
  t.is(limiter.take(lowered, 2801).kind, "taken");
  limiter.markReported();
  t.is(limiter.take(lowered, 100).kind, "short");
});

test("the tokens of a request that was never forwarded are refunded", (t) => {
  const { limiter } = createSettled();
  t.is(limiter.take(LIMIT, 5500).kind, "taken");
  limiter.refund(LIMIT, 5500);
  t.is(limiter.take(LIMIT, 5500).kind, "taken");
  t.is(limiter.currentUsage().get("acme")?.admitted, 5500);
});

/** Reproducible random numbers in [0, 1): a linear congruential generator. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
