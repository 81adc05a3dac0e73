import test from "ava";
import type { OrganisationLimit } from "@banyanspool/types";
import { SlidingWindowLimiter } from "./sliding_window_limiter.ts";

const LIMIT: OrganisationLimit = {
  name: "acme",
  ratePerS: 1000,
  burst: 2000,
  unit: "tokens",
  plainTokens: 10,
};
const WINDOW_MS = 8000;
/** Rate over a window, and one burst. */
const ALLOWED = 10_000;

function createWindow(
  {
    isFirstStart = true,
    entries = 1,
    slackTokens = 1000,
    random = (): number => 0.999,
  } = {},
) {
  let now = 0;
  const limits = SlidingWindowLimiter.create({
    clock: { now: () => now, wall: () => now },
    windowMs: WINDOW_MS,
    isFirstStart,
    initialBurstShare: 0.25,
    overage: 0.1,
    slackTokens,
    liveEntryCount: () => entries,
    random,
  });
  const hear = (admitted: number, incarnation = 1, inWindow = admitted) =>
    limits.recordReport({
      instance: "other",
      incarnation,
      uses: new Map([["acme", { admitted, inWindow }]]),
      knowsWindow: true,
    });
  return { limits, hear, advance: (ms: number) => now += ms, now: () => now };
}

/** A window that knows all of its past. */
function createSettled(options: Parameters<typeof createWindow>[0] = {}) {
  const window = createWindow(options);
  window.limits.take(LIMIT, 0);
  window.advance(2 * WINDOW_MS);
  window.limits.take(LIMIT, 0);
  window.hear(0);
  return window;
}

test("one greedy organisation: no window holds more than rate, burst and one request", (t) => {
  const { limits, advance, now, hear } = createWindow();
  const taken: { at: number; tokens: number }[] = [];
  for (let ms = 0; ms < 40_000; ms += 10) {
    if (limits.take(LIMIT, 200).kind === "taken") {
      taken.push({ at: now(), tokens: 200 });
    }
    limits.markReported();
    hear(0);
    advance(10);
  }
  for (const { at: from } of taken) {
    const sum = taken
      .filter(({ at }) => at >= from && at < from + WINDOW_MS)
      .reduce((total, { tokens }) => total + tokens, 0);
    t.true(sum <= ALLOWED + 200, `${sum} from ${from} ms`);
  }
});

test("use inside the limit in each window: steady traffic above the rate alone is not refused", (t) => {
  const { limits, advance, hear } = createSettled();
  for (let ms = 0; ms < 40_000; ms += 100) {
    t.is(limits.take(LIMIT, 120).kind, "taken", `at ${ms} ms`);
    limits.markReported();
    hear(0);
    advance(100);
  }
});

test("a first start: nothing was used before, so a whole window is there", (t) => {
  const { limits } = createWindow();
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
  limits.markReported();
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
  limits.markReported();
  t.is(limits.take(LIMIT, 500).kind, "short");
});

test("herd killed: who hears nobody starts with a part of the burst and gains a window's worth over a window", (t) => {
  const { limits, advance } = createWindow({ isFirstStart: false });
  const early = limits.take(LIMIT, 500);
  if (early.kind !== "learning") return t.fail("taken too early");
  advance(early.waitMs);
  t.is(limits.take(LIMIT, 500).kind, "taken");
  limits.markReported();
  limits.take(LIMIT, 1000);
  limits.markReported();
  t.is(limits.take(LIMIT, 1000).kind, "short");
  advance(WINDOW_MS);
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
});

test("hot organisation while entries are added: a new one learns what the last window held", (t) => {
  const settled = createSettled();
  for (let i = 0; i < 20; i += 1) {
    settled.limits.take(LIMIT, ALLOWED / 20);
    settled.limits.markReported();
  }
  const added = createWindow({ isFirstStart: false });
  t.is(added.limits.take(LIMIT, 200).kind, "learning");
  added.limits.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: settled.limits.currentUsage(),
    knowsWindow: settled.limits.knowsWindow,
  });
  t.is(added.limits.take(LIMIT, 200).kind, "short");
  settled.advance(WINDOW_MS / 2);
  added.advance(WINDOW_MS / 2);
  added.limits.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: settled.limits.currentUsage(),
    knowsWindow: settled.limits.knowsWindow,
  });
  t.is(added.limits.take(LIMIT, 200).kind, "short", "as it does there");
});

test("what others told before an organisation was met counts when it is", (t) => {
  const { limits } = createWindow({ isFirstStart: false });
  limits.recordReport({
    instance: "settled",
    incarnation: 1,
    uses: new Map([["acme", { admitted: 0, inWindow: ALLOWED }]]),
    knowsWindow: true,
  });
  t.is(limits.take(LIMIT, 200).kind, "short");
});

test("an organisation that comes to another entry: what it used counts, what it used long ago doesn't", (t) => {
  for (const pauseMs of [0, 2 * WINDOW_MS]) {
    const { limits, hear, advance } = createWindow();
    advance(2 * WINDOW_MS);
    hear(ALLOWED);
    advance(pauseMs);
    hear(ALLOWED, 1, pauseMs === 0 ? ALLOWED : 0);
    const expected = pauseMs === 0 ? "short" : "taken";
    t.is(limits.take(LIMIT, 500).kind, expected);
  }
});

test("an added entry that hears of free rest refuses nothing inside the limit", (t) => {
  const { limits, hear } = createWindow({ isFirstStart: false });
  hear(0);
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
});

test("large documents that fill the window don't hold up small bookings", (t) => {
  const { limits } = createSettled();
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
  limits.markReported();
  t.is(limits.take(LIMIT, ALLOWED / 2).kind, "taken");
  t.is(limits.take(LIMIT, 500).kind, "short");
  t.is(limits.take(LIMIT, 10).kind, "taken");
});

test("a refusal says when enough has left the window", (t) => {
  const { limits, advance, hear } = createSettled();
  limits.take(LIMIT, 2000);
  limits.markReported();
  advance(1000);
  limits.take(LIMIT, 4000);
  limits.markReported();
  limits.take(LIMIT, 4000);
  limits.markReported();
  hear(0);
  const short = limits.take(LIMIT, 500);
  if (short.kind !== "short") return t.fail("taken beyond the limit");
  advance(short.waitMs);
  hear(0);
  t.is(limits.take(LIMIT, 500).kind, "taken");
  t.true(Math.abs(short.waitMs - (WINDOW_MS - 1000)) <= WINDOW_MS / 64);
});

test("what another entry admitted counts here", (t) => {
  const { limits, hear } = createSettled();
  hear(ALLOWED - 100);
  t.is(limits.take(LIMIT, 100).kind, "taken");
  limits.markReported();
  hear(ALLOWED);
  t.is(limits.take(LIMIT, 200).kind, "short");
});

test("an entry that was never heard before is new: all it admitted counts", (t) => {
  const { limits, advance, hear } = createWindow();
  limits.take(LIMIT, 0);
  advance(2 * WINDOW_MS);
  hear(ALLOWED);
  t.is(limits.take(LIMIT, 500).kind, "short");
});

test("an entry that is heard late: only what it admitted in the last window counts", (t) => {
  const { limits, advance, hear } = createWindow();
  limits.take(LIMIT, 0);
  advance(2 * WINDOW_MS);
  hear(50 * ALLOWED, 1, 1000);
  t.is(limits.take(LIMIT, 500).kind, "taken");
});

test("an entry that restarts counts from zero again", (t) => {
  const { limits, hear } = createSettled();
  hear(ALLOWED / 2);
  hear(100, 2);
  t.is(limits.take(LIMIT, 1000).kind, "taken", "100 more, not a refund");
  hear(ALLOWED / 2, 2);
  t.is(limits.take(LIMIT, 200).kind, "short");
});

test("partition: each side of two spends half of the limit", (t) => {
  const { limits, advance } = createSettled();
  let used = 0;
  advance(1600);
  for (let ms = 1600; ms < 9000; ms += 10) {
    if (limits.take(LIMIT, 200).kind === "taken") used += 200;
    limits.markReported();
    advance(10);
  }
  t.true(used <= ALLOWED / 2 + 200, `used ${used}`);
  t.true(used >= ALLOWED / 2);
});

test("a silent entry that used nothing gives its part back", (t) => {
  const { limits, hear, advance } = createSettled();
  limits.take(LIMIT, ALLOWED / 2);
  limits.markReported();
  advance(6000);
  t.is(limits.take(LIMIT, 600).kind, "short");
  hear(0);
  t.is(limits.take(LIMIT, 600).kind, "taken");
});

test("herd of entries at the end of a window: they don't all spend the same rest", (t) => {
  const entries = 30;
  const random = createRandom(20261204);
  const all = Array.from(
    { length: entries },
    () => createSettled({ entries, random }),
  );
  for (const { hear } of all) hear(ALLOWED * 0.8);
  let taken = 0;
  for (const { limits } of all) {
    for (let i = 0; i < 3; i += 1) {
      if (limits.take(LIMIT, 500).kind === "taken") taken += 500;
    }
  }
  const rest = ALLOWED * 0.2;
  const tolerance = ALLOWED * 0.1 + 1000;
  t.true(taken <= rest + tolerance, `${taken} of ${rest} left`);
  t.true(taken > 0);
});

test("herd of entries, a large organisation: ordinary documents don't pass as small", (t) => {
  const large = { ...LIMIT, ratePerS: 100_000, burst: 200_000 };
  const allowed = 1_000_000;
  const random = createRandom(20261204);
  const all = Array.from(
    { length: 30 },
    () => createWindow({ entries: 30, random, slackTokens: 110_000 }),
  );
  let taken = 0;
  for (const { limits } of all) {
    limits.take(large, 0);
    limits.recordReport({
      instance: "other",
      incarnation: 1,
      uses: new Map([["acme", { admitted: allowed, inWindow: allowed }]]),
      knowsWindow: true,
    });
    for (let i = 0; i < 4; i += 1) {
      if (limits.take(large, 9000).kind === "taken") taken += 9000;
    }
  }
  t.true(taken <= allowed * 0.1 + 110_000, `${taken} beyond`);
});

test("a raised limit holds at once, a lowered one after a window", (t) => {
  const { limits, hear, advance } = createSettled();
  limits.take(LIMIT, 9000);
  limits.markReported();
  const raised = { ...LIMIT, ratePerS: 2000 };
  t.is(limits.take(raised, 5000).kind, "taken");
  limits.markReported();
  const lowered = { ...LIMIT, ratePerS: 100 };
  t.is(limits.take(lowered, 500).kind, "taken");
  limits.markReported();
  advance(WINDOW_MS / 2);
  hear(0);
  t.is(limits.take(lowered, 500).kind, "short");
  advance(WINDOW_MS);
  hear(0);
  t.is(limits.take(lowered, 2801).kind, "taken");
  limits.markReported();
  t.is(limits.take(lowered, 100).kind, "short");
});

test("a request that was never sent gets its tokens back", (t) => {
  const { limits } = createSettled();
  t.is(limits.take(LIMIT, 5500).kind, "taken");
  limits.refund(LIMIT, 5500);
  t.is(limits.take(LIMIT, 5500).kind, "taken");
  t.is(limits.currentUsage().get("acme")?.admitted, 5500);
});

/** Repeatable numbers from 0 to 1 (a linear congruential generator). */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
