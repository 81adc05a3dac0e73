import test from "ava";
import type { StorePosition } from "@banyanspool/platform";
import type { BackendServer } from "@banyanspool/types";
import { type ReplicaChange, ReplicaRegistry } from "./replica_registry.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

/** Position of a version of the store, by default before any restore. */
function at(version: number, epoch = 1): StorePosition {
  return { epoch, version };
}

function listed(
  id: string,
  position: number | StorePosition = 1,
  options: Partial<BackendServer> = {},
) {
  const server: BackendServer = {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 1,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: [],
    ...options,
  };
  return {
    server,
    position: typeof position === "number" ? at(position) : position,
  };
}

function createRegistry() {
  const changes: ReplicaChange[] = [];
  const registry = ReplicaRegistry.create({
    log: SILENT_LOG,
    onChange: (change) => changes.push(change),
  });
  const ids = () => registry.replicas.map(({ id }) => id);
  return { registry, changes, ids };
}

test("a replica that is missing from the list is removed at once", (t) => {
  const { registry, changes, ids } = createRegistry();
  registry.applyList([listed("a"), listed("b")], { position: at(5), now: 0 });
  registry.applyList([listed("a")], { position: at(6), now: 1000 });
  t.deepEqual(ids(), ["a"]);
  const server = { id: "b", startedAt: 1, sequence: 1 };
  t.deepEqual(changes.at(-1), { kind: "gone", server, position: at(6) });
});

test("a replica missing after a store outage is kept until its row can be written again", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a"), listed("b")], { position: at(5), now: 0 });
  registry.recordReadFailure();
  registry.applyList([listed("a")], { position: at(6), now: 5000 });
  t.deepEqual(ids(), ["a", "b"]);
  registry.applyList([listed("a")], { position: at(7), now: 7400 });
  t.deepEqual(ids(), ["a", "b"]);
  registry.applyList([listed("a")], { position: at(8), now: 7600 });
  t.deepEqual(ids(), ["a"]);
});

test("another gateway's change is applied at once, and an older change is ignored", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 3)], { position: at(5), now: 0 });
  const draining = listed("a", 7, { draining: true });
  t.true(registry.applyPeerChange({ kind: "listed", ...draining }));
  t.true(registry.replicas[0]!.draining);
  registry.applyList([listed("a", 3)], { position: at(6), now: 100 });
  t.true(registry.replicas[0]!.draining, "the list was read before the change");
  const { server } = draining;
  t.true(registry.applyPeerChange({ kind: "gone", server, position: at(9) }));
  t.false(registry.applyPeerChange({ kind: "listed", ...draining }));
  t.deepEqual(ids(), []);
});

test("a list older than the last one changes nothing", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a"), listed("b", 8)], {
    position: at(9),
    now: 0,
  });
  registry.applyList([listed("a")], { position: at(4), now: 1000 });
  t.deepEqual(ids(), ["a", "b"]);
});

test("a heartbeat isn't reported as a change", (t) => {
  const { registry, changes } = createRegistry();
  registry.applyList([listed("a", 1)], { position: at(1), now: 0 });
  registry.applyList([listed("a", 2)], { position: at(2), now: 1000 });
  t.is(changes.length, 1);
});

// Gateways that the store doesn't reach sent it all that it could take.
test("a replica that becomes cold again before it was warm is a change", (t) => {
  const { registry, changes } = createRegistry();
  for (const [i, coldForMs] of [900, 400, 3000, 2500, 0].entries()) {
    const row = listed("a", i + 1, { coldForMs });
    registry.applyList([row], { position: at(i + 1), now: 1000 * i });
  }
  const times = changes.map((change) =>
    change.kind === "listed" ? change.server.coldForMs : undefined
  );
  t.deepEqual(times, [900, 3000]);
});

// A drain after a restore was ignored until versions had caught up.
test("rows that are written after the store was restored count, whatever their versions", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 90), listed("b", 80)], {
    position: at(96),
    now: 0,
  });
  const draining = listed("a", at(76, 2), { draining: true, sequence: 2 });
  registry.applyList([draining, listed("b", 70)], {
    position: at(77, 2),
    now: 1000,
  });
  t.deepEqual(registry.replicas.map(({ draining }) => draining), [true, false]);
  registry.applyList([listed("b", at(70, 2))], {
    position: at(80, 2),
    now: 4000,
  });
  t.deepEqual(ids(), ["b"]);
  registry.applyList([listed("a", 97), listed("b", 80)], {
    position: at(99),
    now: 4100,
  });
  t.deepEqual(ids(), ["b"], "a late answer from before the restore");
});

// The copy names replicas as they were seconds before.
test("what a replica wrote before the copy was taken doesn't undo what it wrote later", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList(
    [
      listed("a", 90, { draining: true, sequence: 7 }),
      listed("b", 91, { startedAt: 500, sequence: 1 }),
    ],
    { position: at(96), now: 0 },
  );
  registry.applyList(
    [
      listed("a", at(60, 2), { sequence: 3 }),
      listed("b", at(61, 2), { startedAt: 100, sequence: 40 }),
    ],
    { position: at(77, 2), now: 1000 },
  );
  t.true(registry.replicas[0]!.draining);
  t.is(registry.replicas[1]!.startedAt, 500);
  registry.applyList([listed("a", at(78, 2), { sequence: 1 })], {
    position: at(78, 2),
    now: 1500,
  });
  t.false(registry.replicas[0]!.draining, "written again after the restore");
  t.deepEqual(ids(), ["a", "b"], "the row may be written again");
});

// A replica that had left came back with the copy and got requests.
test("a replica that left isn't used again because the copy still names it", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 50), listed("b", 60)], {
    position: at(70),
    now: 0,
  });
  registry.applyList([listed("b", 60)], { position: at(90), now: 1000 });
  const both = [listed("a", at(50, 2)), listed("b", at(60, 2))];
  registry.applyList(both, { position: at(75, 2), now: 3000 });
  t.deepEqual(ids(), ["b"]);
  registry.applyList(both, { position: at(79, 2), now: 7000 });
  t.deepEqual(ids(), ["b"]);
  registry.applyList(both, { position: at(85, 2), now: 9000 });
  t.deepEqual(ids(), ["b", "a"], "the store would have expired a silent one");
});

test("a replica that left is back at once when it writes its row after the restore", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 50, { sequence: 9 })], {
    position: at(70),
    now: 0,
  });
  registry.applyList([], { position: at(90), now: 1000 });
  registry.applyList([listed("a", at(50, 2), { sequence: 9 })], {
    position: at(75, 2),
    now: 3000,
  });
  t.deepEqual(ids(), []);
  registry.applyList([listed("a", at(76, 2), { sequence: 12 })], {
    position: at(76, 2),
    now: 3500,
  });
  t.deepEqual(ids(), ["a"]);
});

test("another gateway's news of a replica that left holds against the copy", (t) => {
  const { registry, ids } = createRegistry();
  const before = listed("a", at(50, 2));
  registry.applyList([before], { position: at(75, 2), now: 0 });
  const { server } = before;
  t.true(registry.applyPeerChange({ kind: "gone", server, position: at(90) }));
  t.deepEqual(ids(), []);
  const later = listed("b", at(60, 2), { sequence: 8 });
  registry.applyList([later], { position: at(76, 2), now: 100 });
  const gone = listed("b", 55).server;
  t.false(
    registry.applyPeerChange({ kind: "gone", server: gone, position: at(91) }),
    "it has written its row since",
  );
});

test("a replica that the copy doesn't have yet is kept until its row can be written again", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 50), listed("b", 90)], {
    position: at(95),
    now: 0,
  });
  registry.applyList([listed("a", at(50, 2))], {
    position: at(75, 2),
    now: 3000,
  });
  t.deepEqual(ids(), ["a", "b"]);
  registry.applyList([listed("a", at(50, 2))], {
    position: at(80, 2),
    now: 5600,
  });
  t.deepEqual(ids(), ["a"]);
});

test("a replica that said in a response that it leaves drains whatever its row says, until its successor is listed", (t) => {
  const { registry } = createRegistry();
  const drains = () => registry.replicas.map(({ draining }) => draining);
  registry.applyList([listed("a")], { position: at(5), now: 0 });
  const { digest } = registry;
  t.true(registry.markLeaving("a 1"));
  t.false(registry.markLeaving("a 1"), "known");
  t.false(registry.markLeaving("b 1"), "not listed");
  t.not(registry.digest, digest);
  t.deepEqual(registry.leaving, ["a 1"]);
  registry.applyList([listed("a", 6, { sequence: 2 })], {
    position: at(6),
    now: 1000,
  });
  t.deepEqual(drains(), [true]);
  registry.applyList([listed("a", at(2, 2))], {
    position: at(2, 2),
    now: 2000,
  });
  t.deepEqual(drains(), [true], "a row that a restore brought back");
  registry.applyList([listed("a", at(3, 2), { startedAt: 9 })], {
    position: at(3, 2),
    now: 3000,
  });
  t.deepEqual(drains(), [false]);
  t.deepEqual(registry.leaving, []);
});

test("a replica of which another gateway says that it leaves drains from its first row", (t) => {
  const { registry } = createRegistry();
  registry.markLeaving("a 1");
  registry.applyList([listed("a")], { position: at(5), now: 0 });
  t.true(registry.replicas[0]!.draining);
});
