import test from "ava";
import { OutlierDetector } from "./outlier_detector.ts";

function createDetector() {
  let now = 0;
  const detector = OutlierDetector.create({
    clock: { now: () => now, wall: () => now },
  });
  const record = (replica: string, observation: "success" | "failure") =>
    detector.record("shop", { replica, observation });
  return { detector, record, advance: (ms: number) => now += ms };
}

test("three consecutive failures eject a replica", (t) => {
  const { detector, record } = createDetector();
  for (let i = 0; i < 10; i += 1) record("sound", "success");
  t.false(record("grey", "failure"));
  t.false(record("grey", "failure"));
  t.true(record("grey", "failure"));
  t.true(detector.isEjected("shop", "grey"));
  t.false(detector.isEjected("shop", "sound"));
});

test("a replica that fails 40% of its requests is ejected", (t) => {
  const { detector, record } = createDetector();
  for (let i = 0; i < 20; i += 1) {
    record("a", "success");
    record("b", "success");
    record("grey", i % 5 < 2 ? "failure" : "success");
  }
  t.true(detector.isEjected("shop", "grey"));
});

test("failures that are equally frequent at all replicas eject none", (t) => {
  const { detector, record } = createDetector();
  for (let i = 0; i < 40; i += 1) {
    for (const replica of ["a", "b", "c"]) {
      record(replica, i % 7 === 0 ? "failure" : "success");
    }
  }
  for (const replica of ["a", "b", "c"]) {
    t.false(detector.isEjected("shop", replica));
  }
});

test("an ejection ends after a time that grows with each repetition", (t) => {
  const { detector, record, advance } = createDetector();
  record("sound", "success");
  for (let i = 0; i < 3; i += 1) record("grey", "failure");
  advance(2100);
  t.false(detector.isEjected("shop", "grey"));
  for (let i = 0; i < 3; i += 1) record("grey", "failure");
  advance(2100);
  t.true(detector.isEjected("shop", "grey"));
});
