import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { type ReplicaChange, ReplicaRegistry } from "./replica_registry.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

function listed(
  id: string,
  version = 1,
  options: Partial<BackendServer> = {},
) {
  const server: BackendServer = {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 1,
    leaving: false,
    startedAt: 1,
    models: [],
    ...options,
  };
  return { server, version };
}

function createRoster() {
  const changes: ReplicaChange[] = [];
  const roster = ReplicaRegistry.create({
    log: SILENT_LOG,
    onChange: (change) => changes.push(change),
  });
  const ids = () => roster.replicas.map(({ id }) => id);
  return { roster, changes, ids };
}

test("a replica that is missing from the list is gone at once", (t) => {
  const { roster, changes, ids } = createRoster();
  roster.applyList([listed("a"), listed("b")], { version: 5, now: 0 });
  roster.applyList([listed("a")], { version: 6, now: 1000 });
  t.deepEqual(ids(), ["a"]);
  t.deepEqual(changes.at(-1), { kind: "gone", id: "b", version: 6 });
});

test("rows that lapsed in an outage get time to come back", (t) => {
  const { roster, ids } = createRoster();
  roster.applyList([listed("a"), listed("b")], { version: 5, now: 0 });
  roster.recordReadFailure();
  roster.applyList([listed("a")], { version: 6, now: 5000 });
  t.deepEqual(ids(), ["a", "b"]);
  roster.applyList([listed("a")], { version: 7, now: 7400 });
  t.deepEqual(ids(), ["a", "b"]);
  roster.applyList([listed("a")], { version: 8, now: 7600 });
  t.deepEqual(ids(), ["a"]);
});

test("another gateway's news count at once, older ones never", (t) => {
  const { roster, ids } = createRoster();
  roster.applyList([listed("a", 3)], { version: 5, now: 0 });
  const leaving = listed("a", 7, { leaving: true });
  t.true(roster.applyPeerChange({ kind: "listed", listed: leaving }));
  t.true(roster.replicas[0]!.leaving);
  roster.applyList([listed("a", 3)], { version: 6, now: 100 });
  t.true(roster.replicas[0]!.leaving, "the list was read before the change");
  t.true(roster.applyPeerChange({ kind: "gone", id: "a", version: 9 }));
  t.false(roster.applyPeerChange({ kind: "listed", listed: leaving }));
  t.deepEqual(ids(), []);
});

test("a list that lags behind the last one changes nothing", (t) => {
  const { roster, ids } = createRoster();
  roster.applyList([listed("a"), listed("b", 8)], { version: 9, now: 0 });
  roster.applyList([listed("a")], { version: 4, now: 1000 });
  t.deepEqual(ids(), ["a", "b"]);
});

test("a heartbeat is no news", (t) => {
  const { roster, changes } = createRoster();
  roster.applyList([listed("a", 1)], { version: 1, now: 0 });
  roster.applyList([listed("a", 2)], { version: 2, now: 1000 });
  t.is(changes.length, 1);
});
