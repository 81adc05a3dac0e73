import test from "ava";
import {
  type LoadRequest,
  type LoadResult,
  playLoad,
} from "./testing/waiting_load.ts";

/** Requests at a steady rate from a time on. */
function steady(
  { perS, forMs, fromMs = 0, ...fields }: {
    readonly perS: number;
    readonly forMs: number;
    readonly fromMs?: number;
  } & Omit<LoadRequest, "at">,
): LoadRequest[] {
  const count = Math.round(perS * forMs / 1000);
  return Array.from({ length: count }, (_, i) => ({
    at: fromMs + i * 1000 / perS,
    ...fields,
  }));
}

function waitsOf(results: readonly LoadResult[]): number[] {
  return results.map(({ at, sentAt = Infinity }) => sentAt - at);
}

function sentOf(results: readonly LoadResult[]): LoadResult[] {
  return results.filter(({ sentAt }) => sentAt !== undefined);
}

test("a rush at one and a half times the room for 5 s fills the room, and goes in the order of arrival", async (t) => {
  const { results } = await playLoad({
    places: { m: 10 },
    requests: steady({ perS: 150, forMs: 5000, workMs: 100 }),
  });
  t.is(results.length, 750);
  const sent = sentOf(results);
  t.true(
    sent.length >= 550,
    `${sent.length} of the 580 that there is room for`,
  );
  const arrivals = sent.map(({ at }) => at);
  t.deepEqual(arrivals, arrivals.toSorted((a, b) => a - b));
  t.true(Math.max(...waitsOf(sent)) <= 1000);
  const refused = results.filter(({ code }) => code !== undefined);
  t.true(refused.every(({ retryAfterMs }) => retryAfterMs! > 0));
});

test("one organisation at six times its usual doesn't delay the others", async (t) => {
  const usual = { forMs: 5000, workMs: 100 };
  const others = ["b", "c", "d", "e"].flatMap((organisation) =>
    steady({ ...usual, perS: 18, organisation })
  );
  const { results } = await playLoad({
    places: { m: 10 },
    requests: [...others, ...steady({ ...usual, perS: 108 })],
  });
  const ofOthers = results.filter(({ organisation }) =>
    organisation !== undefined
  );
  const slowest = Math.max(...waitsOf(ofOthers));
  t.true(slowest <= 150, `${slowest} ms`);
  const ofFirst = sentOf(results).length - ofOthers.length;
  t.true(ofFirst >= 120, `${ofFirst} in the room that is left`);
});

test("urgent short requests go before the long ones that wait", async (t) => {
  const long = Array.from({ length: 40 }, () => ({
    at: 0,
    priority: 2,
    workMs: 500,
    patienceMs: 10_000,
  }));
  const { results } = await playLoad({
    places: { m: 4 },
    requests: [...long, ...steady({ perS: 8, forMs: 4000, workMs: 20 })],
  });
  const urgent = results.filter(({ priority }) => priority === undefined);
  const slowest = Math.max(...waitsOf(urgent));
  t.true(slowest <= 530, `${slowest} ms, one long request and a short one`);
  t.is(sentOf(results).length, results.length, "the long ones follow");
});

test("an urgent request that arrives while places are handed out goes before the rest", async (t) => {
  const first = Array.from({ length: 201 }, () => ({ at: 0, workMs: 100 }));
  const long = Array.from({ length: 200 }, () => ({
    at: 10,
    priority: 3,
    workMs: 1000,
    patienceMs: 10_000,
  }));
  const { results } = await playLoad({
    places: { m: 201 },
    requests: [...first, ...long, { at: 105, workMs: 20 }],
  });
  const sent = results.slice(first.length);
  const index = sent.findIndex(({ at }) => at === 105);
  t.true(index >= 1 && index <= 20, `number ${index} of ${sent.length}`);
  t.is(sentOf(sent).length, 201, "the long ones follow");
});

test("impatient callers that repeat at once take no place from those that wait", async (t) => {
  const patient = steady({
    perS: 50,
    forMs: 3000,
    organisation: "b",
    workMs: 100,
  });
  const impatient = Array.from({ length: 100 }, () => ({
    at: 0,
    workMs: 100,
    patienceMs: 400,
  }));
  const { results } = await playLoad({
    places: { m: 10 },
    requests: [...patient, ...impatient],
    next: ({ organisation, workMs, patienceMs }, now) => {
      const isOver = organisation === "b" || now >= 3000;
      return isOver ? undefined : { at: now + 5, workMs, patienceMs };
    },
  });
  const served = waitsOf(
    results.filter(({ organisation }) => organisation === "b"),
  );
  t.true(Math.max(...served) <= 250, `${Math.max(...served)} ms`);
  t.true(sentOf(results).length >= 290, "the room is full");
});

test("callers that leave early leave their places to those that stay", async (t) => {
  const requests = steady({ perS: 150, forMs: 3000, workMs: 100 })
    .map((request, i) =>
      i % 2 === 0 ? request : { ...request, leavesAfterMs: 50 }
    );
  const { results } = await playLoad({ places: { m: 10 }, requests });
  t.is(results.length, 450, "no request is forgotten");
  const leaving = results.filter((each) => each.leavesAfterMs !== undefined);
  t.true(waitsOf(sentOf(leaving)).every((waitMs) => waitMs <= 50));
  const staying = results.filter((each) => each.leavesAfterMs === undefined);
  t.is(sentOf(staying).length, staying.length);
  t.true(sentOf(results).length >= 300, "the room is full");
});

test("a request that is shed is told to come back while its caller still waits", async (t) => {
  const { results } = await playLoad({
    places: { m: 1 },
    random: 0.999,
    requests: Array.from(
      { length: 1100 },
      () => ({ at: 0, workMs: 1000, patienceMs: 3000 }),
    ),
  });
  const shed = results.filter(({ code }) => code === "overloaded");
  t.true(shed.length >= 90);
  const longest = Math.max(...shed.map((each) => each.retryAfterMs!));
  t.true(longest <= 1000, `${longest} ms, a third of the time`);
});

test("one model alone in demand delays and displaces no request for another", async (t) => {
  const { results } = await playLoad({
    places: { m: 10, rare: 1 },
    requests: [
      ...steady({ perS: 400, forMs: 5000, workMs: 100, patienceMs: 10_000 }),
      ...steady({
        perS: 9,
        forMs: 5000,
        model: "rare",
        organisation: "b",
        workMs: 105,
      }),
    ],
  });
  const rare = results.filter(({ model }) => model === "rare");
  t.is(sentOf(rare).length, 45);
  t.true(Math.max(...waitsOf(rare)) <= 10);
  const shed = results.filter(({ code }) => code === "overloaded");
  t.true(shed.length > 0, "more wait than may");
});

test("one model alone in demand displaces no request of its organisation for another", async (t) => {
  const { results } = await playLoad({
    places: { m: 10, rare: 1 },
    requests: [
      ...steady({ perS: 400, forMs: 5000, workMs: 100, patienceMs: 10_000 }),
      ...steady({
        perS: 9,
        forMs: 5000,
        model: "rare",
        workMs: 125,
        patienceMs: 20_000,
      }),
    ],
  });
  const rare = results.filter(({ model }) => model === "rare");
  t.is(sentOf(rare).length, 45);
  const slowest = Math.max(...waitsOf(rare));
  t.true(slowest <= 900, `${slowest} ms, 45 times 125 ms in 5 s`);
  const shed = results.filter(({ code }) => code === "overloaded");
  t.true(shed.length > 0, "more wait than may");
});

test("a less urgent request waits for a bounded time beside a steady urgent load that leaves room", async (t) => {
  const urgent = steady({ perS: 85, forMs: 5000, workMs: 100 });
  const lessUrgent = steady({
    perS: 10,
    forMs: 5000,
    priority: 3,
    workMs: 100,
    patienceMs: 5000,
  });
  const { results } = await playLoad({
    places: { m: 10 },
    requests: [...urgent, ...lessUrgent],
  });
  t.is(sentOf(results).length, results.length);
  const slowest = Math.max(...waitsOf(results));
  t.true(slowest <= 300, `${slowest} ms`);
});

test("a freed place costs the same number of selections however many requests wait", async (t) => {
  const waiting = Array.from(
    { length: 400 },
    () => ({ at: 0, workMs: 100, patienceMs: 400 }),
  );
  const { results, selections } = await playLoad({
    places: { m: 1 },
    requests: waiting,
  });
  t.is(results.length, 400);
  t.true(selections <= 400 * 6, `${selections} selections for 400 requests`);
});
