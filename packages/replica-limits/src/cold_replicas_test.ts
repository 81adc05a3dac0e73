import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { type ColdLimit, ColdReplicas } from "./cold_replicas.ts";

const BORN = 1_000_000;
const COLD_START_MS = 3000;
const COLD_PER_S = 10;
const REPLICA = `i-1 ${BORN}`;

function row(options: Partial<BackendServer> = {}): BackendServer {
  return {
    id: "i-1",
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 64,
    draining: false,
    softwareVersion: "v1",
    startedAt: BORN,
    sequence: 1,
    models: [],
    ...options,
  };
}

/** A gateway that has a list already, at the start of a replica. */
function create(
  { first = [row({ id: "i-0" })], knowsOthers = false } = {},
) {
  let now = 0;
  let wallOffset = 0;
  const implausible: number[] = [];
  const cold = ColdReplicas.create({
    clock: { now: () => now, wall: () => BORN + now + wallOffset },
    limitOfService: (service) =>
      service === "pool"
        ? { coldStartMs: COLD_START_MS, coldPerS: COLD_PER_S }
        : undefined,
    knowsOthers: () => knowsOthers,
    onCold: () => {},
    onImplausible: (_replica, ms) => implausible.push(ms),
  });
  cold.update(first);
  return {
    cold,
    implausible,
    pass: (ms: number) => now += ms,
    setWall: (offset: number) => wallOffset = offset,
  };
}

test("a replica is cold from the first moment that it is listed, whatever its row says", (t) => {
  const { cold, pass } = create();
  cold.update([row({ coldForMs: 0 })]);
  t.is(cold.limitOf(REPLICA), 6);
  pass(COLD_START_MS);
  t.is(cold.limitOf(REPLICA), 6);
  t.is(cold.count, 0);
});

// All gateways would have chosen the idle replica in the same moment.
test("the limit rises without a step after the cold time, then ends", (t) => {
  const { cold, pass } = create();
  cold.update([row({ coldForMs: 500, startedAt: BORN - 60_000 })]);
  const replica = `i-1 ${BORN - 60_000}`;
  pass(500);
  const limits = [0, 250, 250, 250].map((ms) => {
    pass(ms);
    return cold.limitOf(replica);
  });
  t.deepEqual(limits, [6, 12, 24, 48]);
  pass(750);
  t.is(cold.limitOf(replica), undefined);
});

test("a replica may become cold again, and an unchanged row doesn't lengthen its time", (t) => {
  const { cold, pass } = create();
  const server = row({ startedAt: 1, coldForMs: 0 });
  cold.update([server]);
  t.is(cold.limitOf("i-1 1"), undefined);
  const again = { ...server, coldForMs: 2000, sequence: 2 };
  cold.update([again]);
  t.is(cold.limitOf("i-1 1"), 6);
  pass(1900);
  cold.update([again]);
  t.is(cold.count, 1);
  pass(100);
  t.is(cold.count, 0);
  cold.update([{ ...again, coldForMs: 5000, sequence: 3 }]);
  cold.update([{ ...again, coldForMs: 0, sequence: 4 }]);
  t.is(cold.count, 0);
});

// A cold time that is no number is decoded as none.
test("a row without a cold time ends none", (t) => {
  const { cold, pass } = create();
  const server = row({ startedAt: 1, coldForMs: 2000 });
  cold.update([server]);
  cold.update([{ ...server, coldForMs: undefined, sequence: 2 }]);
  t.is(cold.count, 1);
  pass(2000);
  t.is(cold.count, 0);
});

// The list is read before the configuration, which may also change.
test("replicas are cold from the moment that a configuration limits them", (t) => {
  const limits = new Map<string, ColdLimit>();
  const cold = ColdReplicas.create({
    clock: { now: () => 0, wall: () => BORN },
    limitOfService: (service) => limits.get(service),
    onCold: () => {},
    onImplausible: () => {},
  });
  cold.update([row({ coldForMs: 900 })]);
  t.is(cold.limitOf(REPLICA), undefined);
  limits.set("pool", { coldStartMs: COLD_START_MS, coldPerS: COLD_PER_S });
  cold.recordConfiguration();
  t.is(cold.limitOf(REPLICA), 6);
});

test("cold times that can't be are clamped and told", (t) => {
  const { cold, implausible, pass } = create();
  const server = row({ startedAt: 1, coldForMs: Infinity });
  cold.update([server]);
  t.is(cold.count, 1);
  pass(600_000);
  t.is(cold.count, 0);
  cold.update([{ ...server, coldForMs: -5 }]);
  t.is(cold.limitOf("i-1 1"), 6, "its limit still rises");
  t.deepEqual(implausible, [Infinity, -5]);
});

test("replicas that a gateway finds at its start are cold only if they say so", (t) => {
  const first = [
    row({ coldForMs: 0 }),
    row({ id: "i-2", startedAt: 0 }),
    row({ id: "i-3", startedAt: 1, coldForMs: 700 }),
  ];
  const { cold } = create({ first });
  t.deepEqual(
    [REPLICA, "i-2 0", "i-3 1"].map((id) => cold.limitOf(id)),
    [undefined, undefined, 6],
  );
});

// Rows are older than the evacuation's end, at which replicas may be cold.
test("replicas are cold when an evacuation of their data centre is taken back", (t) => {
  const { cold } = create();
  cold.update([row({ startedAt: 1, coldForMs: 0 })]);
  cold.recordReturn("south");
  t.is(cold.count, 0);
  cold.recordReturn("north");
  t.is(cold.limitOf("i-1 1"), 6);
});

test("services without such a limit, and gateways that have just started", (t) => {
  const { cold, pass } = create();
  cold.update([row(), row({ id: "i-4", service: "desk", coldForMs: 900 })]);
  t.is(cold.limitOf(`i-4 ${BORN}`), undefined);
  t.true(cold.mayIssue(`i-4 ${BORN}`));
  t.false(cold.mayIssue(REPLICA), "it may not know the others");
  pass(2000);
  t.true(cold.mayIssue(REPLICA));
});

// After a loss of power all replicas are cold, and all gateways have just started.
test("a gateway that has just started issues permits if it knows all others", (t) => {
  const { cold } = create({ knowsOthers: true });
  cold.update([row()]);
  t.true(cold.mayIssue(REPLICA));
});

test("steps of the wall clock neither shorten nor lengthen a cold time that runs", (t) => {
  const { cold, pass, setWall } = create();
  cold.update([row()]);
  for (const offset of [3_600_000, -3_600_000]) {
    setWall(offset);
    cold.update([row({ sequence: offset })]);
    t.is(cold.leftMs(REPLICA), COLD_START_MS);
  }
  pass(COLD_START_MS);
  t.is(cold.count, 0);
});

// Its row may say nothing, and the process before knew when it was listed.
test("a gateway that restarts in the middle of a cold time keeps the rest of it", (t) => {
  const startedAt = BORN - 1000;
  const { cold } = create({
    first: [row({ startedAt, coldForMs: undefined })],
  });
  t.is(cold.leftMs(`i-1 ${startedAt}`), COLD_START_MS - 1000);
  const told = create({ first: [row({ startedAt: 1, coldForMs: 700 })] });
  t.is(told.cold.leftMs("i-1 1"), 700);
});
