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
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    models: [],
    ...options,
  };
  return { server, version };
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
  registry.applyList([listed("a"), listed("b")], { version: 5, now: 0 });
  registry.applyList([listed("a")], { version: 6, now: 1000 });
  t.deepEqual(ids(), ["a"]);
  t.deepEqual(changes.at(-1), { kind: "gone", id: "b", version: 6 });
});

test("a replica missing after a store outage is kept until its row can be written again", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a"), listed("b")], { version: 5, now: 0 });
  registry.recordReadFailure();
  registry.applyList([listed("a")], { version: 6, now: 5000 });
  t.deepEqual(ids(), ["a", "b"]);
  registry.applyList([listed("a")], { version: 7, now: 7400 });
  t.deepEqual(ids(), ["a", "b"]);
  registry.applyList([listed("a")], { version: 8, now: 7600 });
  t.deepEqual(ids(), ["a"]);
});

test("another gateway's change is applied at once, and an older change is ignored", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a", 3)], { version: 5, now: 0 });
  const draining = listed("a", 7, { draining: true });
  t.true(registry.applyPeerChange({ kind: "listed", listed: draining }));
  t.true(registry.replicas[0]!.draining);
  registry.applyList([listed("a", 3)], { version: 6, now: 100 });
  t.true(registry.replicas[0]!.draining, "the list was read before the change");
  t.true(registry.applyPeerChange({ kind: "gone", id: "a", version: 9 }));
  t.false(registry.applyPeerChange({ kind: "listed", listed: draining }));
  t.deepEqual(ids(), []);
});

test("a list older than the last one changes nothing", (t) => {
  const { registry, ids } = createRegistry();
  registry.applyList([listed("a"), listed("b", 8)], { version: 9, now: 0 });
  registry.applyList([listed("a")], { version: 4, now: 1000 });
  t.deepEqual(ids(), ["a", "b"]);
});

test("a heartbeat isn't reported as a change", (t) => {
  const { registry, changes } = createRegistry();
  registry.applyList([listed("a", 1)], { version: 1, now: 0 });
  registry.applyList([listed("a", 2)], { version: 2, now: 1000 });
  t.is(changes.length, 1);
});
