import test from "ava";
import fc from "fast-check";
import { PromptQuarantine } from "./prompt_quarantine.ts";

/** Gateways that exchange reports, with a shared clock. */
function createFleet(gateways = 2) {
  let now = 1000;
  const clock = { now: () => now, wall: () => now };
  const all = Array.from(
    { length: gateways },
    (_, i) =>
      PromptQuarantine.create({
        clock,
        isTrialOwner: () => i === 0,
        onStart: () => {},
        onCleared: () => {},
      }),
  );
  const exchange = () => {
    for (const from of all) {
      for (const to of all) {
        if (to !== from) to.applyReport(from.report());
      }
    }
  };
  const advance = (ms: number) => {
    now += ms;
    exchange();
  };
  return { all, first: all[0]!, second: all[1]!, advance, exchange };
}

test("a part in flight at three crashes is quarantined at all gateways", (t) => {
  const { first, second, advance, exchange } = createFleet();
  for (const replica of ["r1", "r2", "r3"]) {
    t.is(second.check(["bad"]), undefined);
    first.recordCrash(replica, ["shared", "bad"]);
    advance(400);
    second.recordCompletion(["shared"]);
    advance(400);
  }
  exchange();
  for (const gateway of [first, second]) {
    t.is(gateway.check(["other", "bad"])?.part, "bad");
    t.is(gateway.check(["shared", "other"]), undefined);
  }
});

test("crashes that each gateway saw in part add up", (t) => {
  const { first, second, advance } = createFleet();
  first.recordCrash("r1", ["bad"]);
  advance(400);
  second.recordCrash("r2", ["bad"]);
  advance(400);
  first.recordCrash("r3", ["other"]);
  second.recordCrash("r3", ["bad"]);
  advance(400);
  t.is(first.check(["bad"])?.part, "bad");
});

test("a part that completes between crashes is not quarantined", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 20; i += 1) {
    first.recordCrash(`r${i}`, ["popular"]);
    advance(700);
    if (i % 2 === 0) second.recordCompletion(["popular"]);
    advance(700);
  }
  t.is(first.check(["popular"]), undefined);
  t.is(second.check(["popular"]), undefined);
});

test("completions that only another gateway saw clear a part between crashes far apart", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 8; i += 1) {
    first.recordCrash(`r${i}`, ["popular"]);
    advance(100);
    second.recordCompletion(["popular"]);
    for (let s = 0; s < 25; s += 1) advance(1000);
  }
  t.is(first.check(["popular"]), undefined);
  t.deepEqual(second.report().completions, [], "reported for a time only");
});

test("replicas that fail together quarantine nothing", (t) => {
  const { first, advance } = createFleet();
  for (let i = 0; i < 12; i += 1) first.recordCrash(`r${i}`, ["a", "b"]);
  advance(100);
  t.is(first.check(["a", "b"]), undefined);
});

test("a part that was quarantined wrongly is cleared by a request in flight", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 3; i += 1) {
    first.recordCrash(`r${i}`, ["sound"]);
    advance(500);
  }
  t.truthy(second.check(["sound"]));
  second.recordCompletion(["sound"]);
  advance(100);
  t.is(first.check(["sound"]), undefined);
  t.is(second.check(["sound"]), undefined);
});

test("after a quarantine one request tries the part, and a crash renews it", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 3; i += 1) {
    first.recordCrash(`r${i}`, ["bad"]);
    advance(500);
  }
  advance(61_000);
  t.truthy(second.check(["bad"]), "not the trial's owner");
  t.is(first.check(["bad"]), undefined);
  first.recordSent(["bad"]);
  t.truthy(first.check(["bad"]), "one at a time");
  first.recordCrash("r9", ["bad"]);
  advance(100);
  for (const gateway of [first, second]) {
    t.true(gateway.check(["bad"])!.retryAfterMs > 500_000);
  }
});

test("of two parts in flight at the same crashes, the sound one is tried and cleared", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 3; i += 1) {
    first.recordCrash(`r${i}`, ["sound", "bad"]);
    advance(500);
  }
  t.truthy(first.check(["sound", "bad"]), "can't tell them apart");
  t.is(first.check(["sound"]), undefined);
  first.recordSent(["sound"]);
  first.recordCompletion(["sound"]);
  t.is(first.check(["sound", "bad"]), undefined);
  first.recordSent(["sound", "bad"]);
  first.recordCrash("r9", ["sound", "bad"]);
  advance(100);
  t.is(second.check(["sound"]), undefined);
  t.true(second.check(["bad"])!.retryAfterMs > 500_000);
});

test("a completed trial ends the quarantine at all gateways", (t) => {
  const { first, second, advance } = createFleet();
  for (let i = 0; i < 3; i += 1) {
    first.recordCrash(`r${i}`, ["mended"]);
    advance(500);
  }
  advance(61_000);
  first.recordSent(["mended"]);
  first.recordCompletion(["mended"]);
  advance(100);
  t.is(second.check(["mended"]), undefined);
});

test("a gateway that starts during a quarantine learns of it", (t) => {
  const { first, advance } = createFleet(3);
  for (let i = 0; i < 3; i += 1) {
    first.recordCrash(`r${i}`, ["bad"]);
    advance(500);
  }
  advance(30_000);
  const [restarted] = createFleet(1).all;
  restarted!.applyReport(first.report());
  t.is(restarted!.check(["bad"])?.part, "bad");
});

test("no load of sound and crashing requests crashes over five replicas", (t) => {
  const part = fc.integer({ min: 0, max: 7 }).map((i) => `part-${i}`);
  const request = fc.record({
    parts: fc.uniqueArray(part, { minLength: 1, maxLength: 3 }),
    isBad: fc.boolean(),
    gateway: fc.integer({ min: 0, max: 2 }),
    gapMs: fc.integer({ min: 260, max: 1500 }),
  });
  fc.assert(
    fc.property(
      fc.array(request, { minLength: 40, maxLength: 120 }),
      (requests) => {
        const { all, advance } = createFleet(3);
        let crashes = 0;
        for (const { parts, isBad, gateway, gapMs } of requests) {
          const prompt = isBad ? [...parts, "bad"] : parts;
          const quarantine = all[gateway]!;
          if (!quarantine.check(prompt)) {
            if (isBad) {
              crashes += 1;
              quarantine.recordCrash(`r${crashes}`, prompt);
            } else quarantine.recordCompletion(prompt);
          }
          advance(gapMs);
        }
        return crashes <= 5;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});
