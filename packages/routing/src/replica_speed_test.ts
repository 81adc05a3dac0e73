import test from "ava";
import { ReplicaSpeeds } from "./replica_speed.ts";

const LONG_WORK_MS = 2000;
const SHORT_WORK_MS = 20;

function replica(id: string, service = "pool") {
  return { id, service };
}

function createSpeeds() {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const speeds = ReplicaSpeeds.create({ clock });
  return { speeds, advance: (ms: number) => now += ms };
}

test("a replica at half the speed of its siblings is known after some requests", (t) => {
  const { speeds } = createSpeeds();
  for (let i = 0; i < 60; i += 1) {
    speeds.recordMeasured(replica("slow"), { averageMs: 50, elapsedMs: 100 });
    speeds.recordMeasured(replica("fast"), { averageMs: 50, elapsedMs: 45 });
  }
  const slowdown = speeds.forecast(replica("slow"), 50);
  t.true(slowdown > 1.8 && slowdown <= 2, `${slowdown}`);
  t.true(speeds.forecast(replica("fast"), 50) < 0.95);
  t.is(speeds.forecast(replica("unknown", "other"), 50), 1);
  const unknown = speeds.forecast(replica("unknown"), 50);
  t.true(unknown > 1 && unknown < slowdown, `${unknown}`);
});

test("a few late responses change little", (t) => {
  const { speeds } = createSpeeds();
  const usual = { averageMs: 50, elapsedMs: 50 };
  for (let i = 0; i < 50; i += 1) speeds.recordMeasured(replica("r"), usual);
  for (let i = 0; i < 3; i += 1) {
    speeds.recordMeasured(replica("r"), { averageMs: 50, elapsedMs: 20_000 });
  }
  t.true(speeds.forecast(replica("r"), 50) < 1.15);
});

test("noise many times a second: long work is forecast by the mean, short work by the present as well", (t) => {
  const { speeds, advance } = createSpeeds();
  for (let i = 0; i < 400; i += 1) {
    advance(50);
    speeds.recordStated(replica("r"), i % 8 < 2 ? 4 : 1);
  }
  for (let i = 0; i < 2; i += 1) {
    advance(50);
    speeds.recordStated(replica("r"), 4);
  }
  const long = speeds.forecast(replica("r"), LONG_WORK_MS);
  const short = speeds.forecast(replica("r"), SHORT_WORK_MS);
  t.true(long > 1.5 && long < 2.2, `${long}`);
  t.true(short > 2.5, `${short}`);
  advance(1000);
  const later = speeds.forecast(replica("r"), SHORT_WORK_MS);
  t.true(later < 2.2, `an old stated load tells the mean only: ${later}`);
});

test("a single stated load is no jump, and they fade once they stop", (t) => {
  const { speeds, advance } = createSpeeds();
  speeds.recordStated(replica("r"), 10_000);
  t.true(speeds.forecast(replica("r"), LONG_WORK_MS) < 4.2);
  advance(60_000);
  t.true(speeds.forecast(replica("r"), LONG_WORK_MS) < 1.05);
});

test("a slowdown that the replica states isn't learnt a second time from times", (t) => {
  const { speeds, advance } = createSpeeds();
  for (let i = 0; i < 200; i += 1) {
    advance(50);
    speeds.recordStated(replica("r"), 2);
    speeds.recordMeasured(replica("r"), { averageMs: 50, elapsedMs: 100 });
  }
  const slowdown = speeds.forecast(replica("r"), 50);
  t.true(slowdown > 1.8 && slowdown < 2.3, `${slowdown}`);
});

test("what replicas share can be taken out at any time, and no prediction changes", (t) => {
  const { speeds, advance } = createSpeeds();
  const ids = ["slow", "fast", "rare", "unknown"];
  const predict = (averageMs: number) =>
    ids.map((id) => averageMs * speeds.forecast(replica(id), 50));
  let averageMs = 50;
  for (let i = 0; i < 200; i += 1) {
    const id = i % 40 === 0 ? "rare" : i % 3 === 0 ? "slow" : "fast";
    const elapsedMs = { slow: 150, fast: 80, rare: 100 }[id];
    advance(100);
    speeds.recordMeasured(replica(id), { averageMs, elapsedMs });
    const before = predict(averageMs);
    averageMs *= speeds.takeShared("pool");
    for (const [n, after] of predict(averageMs).entries()) {
      t.true(Math.abs(after / before[n]! - 1) < 1e-6, `${ids[n]} at ${i}`);
    }
  }
  t.true(averageMs > 80 && averageMs < 150, `${averageMs}`);
});

test("while one replica alone is measured, little is learnt of relative speeds", (t) => {
  const { speeds } = createSpeeds();
  const measure = (id: string, elapsedMs: number) =>
    speeds.recordMeasured(replica(id), { averageMs: 50, elapsedMs });
  for (let i = 0; i < 40; i += 1) measure(i % 2 ? "r" : "s", 50);
  for (let i = 0; i < 200; i += 1) measure("r", 10);
  const [r, s] = ["r", "s"].map((id) => speeds.forecast(replica(id), 50));
  t.true(r! / s! > 0.65, `${r} and ${s}`);
});
