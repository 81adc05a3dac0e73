import test from "ava";
import { drawSchedule } from "./schedule.ts";

const SIZES = { durationMs: 60_000, gateways: 3, replicas: 5 };

test("the same seed gives the same faults, and another seed gives others", (t) => {
  t.deepEqual(drawSchedule(7, SIZES), drawSchedule(7, SIZES));
  t.notDeepEqual(drawSchedule(7, SIZES), drawSchedule(8, SIZES));
});

test("a long run has every kind of fault, and most faults overlap", (t) => {
  const steps = drawSchedule(1, { ...SIZES, durationMs: 600_000 });
  t.is(new Set(steps.map(({ kind }) => kind)).size, 30);
  const overlaps = steps.filter((step, i) =>
    i > 0 && steps[i - 1]!.atMs + steps[i - 1]!.durationMs > step.atMs
  );
  t.true(overlaps.length > steps.length / 2);
});
