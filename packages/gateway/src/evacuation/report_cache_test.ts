import test from "ava";
import { cacheReport } from "./report_cache.ts";

test("a report is made again after a second, or after fifty times the time that it took", (t) => {
  let now = 0;
  let builds = 0;
  let buildMs = 1;
  const read = cacheReport({
    clock: { now: () => now },
    log: { write: () => t.fail() },
    build: () => {
      now += buildMs;
      builds += 1;
      return { builds };
    },
  });
  t.is(read(), '{"builds":1}');
  now += 999;
  t.is(read(), '{"builds":1}');
  now += 1;
  buildMs = 450;
  t.is(read(), '{"builds":2}');
  now += 22_499;
  t.is(read(), '{"builds":2}');
  now += 1;
  t.is(read(), '{"builds":3}');
});

test("a report that can't be made is logged, and made again after the pause", (t) => {
  let now = 0;
  let isBroken = true;
  const logged: unknown[] = [];
  const read = cacheReport({
    clock: { now: () => now },
    log: { write: (event, fields) => logged.push([event, fields]) },
    build: () => {
      if (isBroken) throw new Error("no list");
      return {};
    },
  });
  t.is(read(), undefined);
  t.is(read(), undefined);
  t.deepEqual(logged, [["evacuation report failed", {
    error: "Error: no list",
  }]]);
  isBroken = false;
  now += 1000;
  t.is(read(), "{}");
});
