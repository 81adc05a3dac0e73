import test from "ava";
import { WaitingRequestCounts } from "./waiting_request_counts.ts";

// A report with one need for each request would be too long to be sent.
test("requests that are bound to regions tell each need once, until the last is served", (t) => {
  const counts = WaitingRequestCounts.create({ clock: fixedClock() });
  const allowedRegions = ["here"];
  const stop = Array.from(
    { length: 500 },
    () => counts.add("m1", { allowedRegions }),
  );
  t.deepEqual(counts.needs, [{ name: "m1", allowedRegions }]);
  for (const stopOne of stop.slice(1)) stopOne();
  t.is(counts.needs.length, 1);
  stop[0]!();
  stop[0]!();
  t.is(counts.needs.length, 0);
  for (let i = 0; i < 500; i += 1) counts.add(`m${i}`, { allowedRegions });
  t.is(counts.needs.length, 32);
});

test("requests without regions and versions tell no need", (t) => {
  const counts = WaitingRequestCounts.create({ clock: fixedClock() });
  counts.add("m1");
  t.deepEqual(counts.needs, []);
});

function fixedClock() {
  return { now: () => 0, wall: () => 0 };
}
