import test from "ava";
import { ReplicaPauses } from "./replica_pauses.ts";

function createPauses() {
  let now = 1000;
  const logged: number[] = [];
  const pauses = ReplicaPauses.create({
    clock: { now: () => now, wall: () => now },
    sleep: (ms) => {
      now += ms;
      return Promise.resolve();
    },
    onPause: (_replica, forMs) => logged.push(forMs),
  });
  return { pauses, logged, now: () => now, advance: (ms: number) => now += ms };
}

/** Most requests that may wait for a response of a replica. */
function countAdmitted(pauses: ReplicaPauses, replica: string): number {
  let admitted = 0;
  while (admitted < 1000 && pauses.admits(replica, admitted)) admitted += 1;
  return admitted;
}

test("a paused replica admits nothing, and others are not concerned", (t) => {
  const { pauses, advance } = createPauses();
  t.true(pauses.isEmpty);
  pauses.record("r1", { forMs: 4000 });
  t.is(countAdmitted(pauses, "r1"), 0);
  t.is(countAdmitted(pauses, "r2"), 1000);
  advance(3999);
  t.is(countAdmitted(pauses, "r1"), 0);
  t.is(pauses.remainingMs("r1"), 1);
});

test("after a pause the requests that may wait double with each response, until all are admitted", (t) => {
  const { pauses, advance } = createPauses();
  pauses.record("r1", { forMs: 1000 });
  pauses.recordResponse("r1");
  advance(1000);
  for (let admitted = 1; admitted < 64; admitted *= 2) {
    t.is(countAdmitted(pauses, "r1"), admitted);
    pauses.recordResponse("r1");
  }
  t.is(countAdmitted(pauses, "r1"), 1000);
  t.true(pauses.isEmpty);
});

test("a replica without responses admits all some seconds after its pause", (t) => {
  const { pauses, advance } = createPauses();
  pauses.record("r1", { forMs: 1000 });
  advance(1500);
  t.is(countAdmitted(pauses, "r1"), 1);
  advance(4500);
  t.is(countAdmitted(pauses, "r1"), 1000);
});

test("of several pauses the one that ends last counts, and each begins with a slow start", (t) => {
  const { pauses, logged, advance } = createPauses();
  pauses.record("r1", { forMs: 3000 });
  advance(100);
  pauses.record("r1", { forMs: 500 });
  t.is(pauses.remainingMs("r1"), 2900);
  advance(2900);
  pauses.recordResponse("r1");
  pauses.record("r1", { forMs: 500 });
  advance(500);
  t.is(countAdmitted(pauses, "r1"), 1);
  t.deepEqual(logged, [3000, 500]);
});

test("a call waits until a pause has ended, also if it is prolonged", async (t) => {
  const { pauses, now } = createPauses();
  pauses.record("r1", { forMs: 700 });
  await pauses.wait("r1");
  t.is(now(), 1700);
  await pauses.wait("r2");
  t.is(now(), 1700);
});

test("a replica that is gone is forgotten", (t) => {
  const { pauses } = createPauses();
  pauses.record("r1", { forMs: 700 });
  pauses.retain(new Set());
  t.true(pauses.isEmpty);
});
