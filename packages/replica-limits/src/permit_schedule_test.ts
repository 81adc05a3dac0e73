import test from "ava";
import fc from "fast-check";
import { PermitSchedule } from "./permit_schedule.ts";

const SEED = 20261204;
const STEP_MS = 10;
const RATE_PER_S = 2.4;
const WINDOW_MS = 4000;
/** Time within which refused callers come back, in ms. */
const PATIENCE_MS = 3000;
/** How much later than told they come back at most, in ms. */
const RETURN_DELAY_MS = 200;

interface Sender {
  readonly organisation: string;
  readonly priority: number;
  readonly requestsPerS: number;
}

interface Tally {
  sent: number;
  served: number;
  returned: number;
  servedOnReturn: number;
}

/** Plays callers that are refused with a time and come back at it, for 60 s. */
function play(senders: readonly Sender[], random: () => number) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const schedule = PermitSchedule.create({ clock });
  const grants: number[] = [];
  const returns: { at: number; sender: Sender; request: string }[] = [];
  let requests = 0;
  const tallies = new Map<string, Tally>();
  const tallyOf = ({ organisation }: Sender) => {
    const tally = tallies.get(organisation) ??
      { sent: 0, served: 0, returned: 0, servedOnReturn: 0 };
    tallies.set(organisation, tally);
    return tally;
  };
  const take = (sender: Sender, request: string) => {
    const { granted } = schedule.take("any", {
      requester: { ...sender, request },
      ratePerS: RATE_PER_S,
    });
    if (granted) grants.push(now);
    return granted;
  };
  for (; now < 60_000; now += STEP_MS) {
    const due = returns.filter(({ at }) => at <= now);
    for (const entry of due) {
      returns.splice(returns.indexOf(entry), 1);
      const tally = tallyOf(entry.sender);
      tally.returned += 1;
      if (take(entry.sender, entry.request)) tally.servedOnReturn += 1;
    }
    for (const sender of senders) {
      if (random() >= sender.requestsPerS * STEP_MS / 1000) continue;
      const tally = tallyOf(sender);
      tally.sent += 1;
      requests += 1;
      const request = `request ${requests}`;
      if (take(sender, request)) {
        tally.served += 1;
        continue;
      }
      const requester = { ...sender, request };
      const { inMs, isPromised } = schedule.promise(requester, {
        ratePerS: RATE_PER_S,
        withinMs: PATIENCE_MS,
      });
      if (!isPromised) continue;
      const at = now + inMs + RETURN_DELAY_MS * random();
      returns.push({ at, sender, request });
    }
  }
  const worst = Math.max(
    0,
    ...grants.map((at) =>
      grants.filter((other) => other >= at && other < at + WINDOW_MS).length
    ),
  );
  return { tallyOf, worst };
}

function createRandom(): () => number {
  let state = SEED;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

const FLOOD = { organisation: "flood", priority: 1, requestsPerS: 30 };
const SMALL = { organisation: "small", priority: 1, requestsPerS: 0.6 };
const OTHER = { organisation: "other", priority: 1, requestsPerS: 0.6 };

// An organisation that sends most would get all that the replicas take.
test("a rush of one organisation leaves the others their part of a limit", (t) => {
  const { tallyOf, worst } = play([FLOOD, SMALL, OTHER], createRandom());
  for (const sender of [SMALL, OTHER]) {
    const { sent, served, servedOnReturn } = tallyOf(sender);
    const share = (served + servedOnReturn) / sent;
    t.true(share > 0.8, `${sender.organisation} got ${share} of its requests`);
  }
  const { served, servedOnReturn } = tallyOf(FLOOD);
  t.true(served + servedOnReturn > 30, "what they leave is used");
  t.true(worst <= 1.5 * RATE_PER_S * WINDOW_MS / 1000 + 5, `${worst} in 4 s`);
});

// Callers came back at the time that they were told and were refused again.
test("a caller that comes back at the promised time is served", (t) => {
  const { tallyOf } = play([FLOOD, SMALL, OTHER], createRandom());
  for (const sender of [FLOOD, SMALL, OTHER]) {
    const { returned, servedOnReturn } = tallyOf(sender);
    t.true(
      servedOnReturn >= 0.95 * returned,
      `${sender.organisation}: ${servedOnReturn} of ${returned}`,
    );
  }
});

test("of two organisations that send alike, the one with urgent requests gets more", (t) => {
  const urgent = { ...FLOOD, organisation: "urgent", priority: 0 };
  const patient = { ...FLOOD, organisation: "patient", priority: 3 };
  const { tallyOf } = play([urgent, patient], createRandom());
  const total = (sender: Sender) => {
    const { served, servedOnReturn } = tallyOf(sender);
    return served + servedOnReturn;
  };
  t.true(total(urgent) > total(patient), `${total(urgent)}`);
  t.true(total(patient) > 10, "the other is not starved");
});

test("no order of takes and promises issues more than the rate and the accumulated permits", (t) => {
  const step = fc.record({
    kind: fc.constantFrom("any", "spare", "promise"),
    organisation: fc.constantFrom("a", "b", "c"),
    request: fc.constantFrom("1", "2", "3"),
    afterMs: fc.integer({ min: 0, max: 900 }),
    ratePerS: fc.constantFrom(0.2, 1.2, 20),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
      let now = 0;
      let allowed = 2;
      let before = 0;
      const schedule = PermitSchedule.create({
        clock: { now: () => now, wall: () => now },
      });
      let granted = 0;
      for (const { kind, afterMs, ratePerS, ...step } of steps) {
        now += afterMs;
        allowed += before * afterMs / 1000;
        before = ratePerS;
        const requester = { ...step, priority: 1 };
        if (kind === "promise") {
          schedule.promise(requester, { ratePerS, withinMs: 5000 });
          continue;
        }
        const options = { requester, ratePerS };
        if (schedule.take(kind as "any" | "spare", options).granted) {
          granted += 1;
        }
      }
      return granted <= allowed;
    }),
    { seed: SEED },
  );
  t.pass();
});
