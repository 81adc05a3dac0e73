import test from "ava";
import fc from "fast-check";
import type { HeldModels } from "@banyanspool/wire";
import {
  HeldModelsPublisher,
  HeldModelsView,
  type ReplicaModels,
} from "./held_models.ts";

const SEED = 20_261_204;
const PUBLISHER = "gateway-1 1";

function message(
  publisher: HeldModelsPublisher,
  baseVersion: bigint,
  fencingToken = 1n,
): HeldModels {
  return {
    $typeName: "banyanspool.v1.HeldModels",
    ...publisher.changesSince(Number(baseVersion)),
    fencingToken,
    loads: [],
  };
}

function models(replica: string, names: string[], startedAt = 1) {
  return { replica, startedAt, names };
}

function contents(view: HeldModelsView): ReplicaModels[] {
  return [...view.replicas].map(([replica, { startedAt, names }]) => ({
    replica,
    startedAt,
    names: [...names],
  })).sort((a, b) => a.replica.localeCompare(b.replica));
}

test("a gateway that knows the previous version is sent only the change", (t) => {
  const publisher = HeldModelsPublisher.create();
  const view = HeldModelsView.create();
  publisher.update([models("r1", ["a"]), models("r2", ["b"])]);
  view.apply(message(publisher, view.version), PUBLISHER);
  publisher.update([models("r1", ["a", "c"]), models("r2", ["b"])]);
  const change = message(publisher, view.version);
  t.deepEqual(change.replicas.map(({ replica }) => replica), ["r1"]);
  t.true(view.apply(change, PUBLISHER));
  t.deepEqual(contents(view), [models("r1", ["a", "c"]), models("r2", ["b"])]);
});

test("a message of an earlier holder, or one that skips a change, is not applied", (t) => {
  const publisher = HeldModelsPublisher.create();
  const view = HeldModelsView.create();
  publisher.update([models("r1", ["a"])]);
  t.true(view.apply(message(publisher, 0n, 2n), PUBLISHER));
  t.false(view.apply(message(publisher, 0n, 1n), PUBLISHER));
  publisher.update([models("r1", ["a", "b"])]);
  publisher.update([models("r1", ["b"])]);
  t.false(view.apply(message(publisher, 2n, 2n), PUBLISHER));
  t.deepEqual(contents(view), [models("r1", ["a"])]);
});

test("with any loss, duplication and order of messages, a view shows a published state and catches up", (t) => {
  const state = fc.array(
    fc.record({
      replica: fc.constantFrom("r1", "r2", "r3"),
      startedAt: fc.constantFrom(1, 2),
      names: fc.uniqueArray(fc.constantFrom("a", "b", "c")),
    }),
    { maxLength: 3 },
  ).map((entries) =>
    [...new Map(entries.map((entry) => [entry.replica, entry])).values()]
      .sort((a, b) => a.replica.localeCompare(b.replica))
  );
  const step = fc.oneof(
    fc.record({ kind: fc.constant("publish" as const), state }),
    fc.record({ kind: fc.constant("send" as const) }),
    fc.record({ kind: fc.constant("deliver" as const), index: fc.nat(20) }),
  );
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const publisher = HeldModelsPublisher.create();
      const view = HeldModelsView.create();
      const published: ReplicaModels[][] = [[]];
      const inTransit: HeldModels[] = [];
      let acknowledged = 0n;
      for (const next of steps) {
        if (next.kind === "publish") {
          if (publisher.update(next.state)) published.push(next.state);
        } else if (next.kind === "send") {
          inTransit.push(message(publisher, acknowledged));
        } else if (inTransit.length > 0) {
          view.apply(
            inTransit[next.index % inTransit.length]!,
            PUBLISHER,
          );
          acknowledged = view.version;
        }
        const known = published[Number(view.version)] ?? [];
        if (JSON.stringify(contents(view)) !== JSON.stringify(known)) {
          return false;
        }
      }
      view.apply(message(publisher, view.version), PUBLISHER);
      return Number(view.version) === published.length - 1;
    }),
    { seed: SEED, numRuns: 1000 },
  );
  t.pass();
});

test("what was published of a replica counts until its report is read in a new term", (t) => {
  const publisher = HeldModelsPublisher.create();
  publisher.update([models("r1", ["a"]), models("r2", ["b"])]);
  t.false(publisher.update([], new Set(["r1", "r2"])));
  t.true(publisher.update([models("r1", ["c"])], new Set(["r2"])));
  t.deepEqual(publisher.get("r2")?.names, ["b"]);
  t.true(publisher.update([models("r1", ["c"])]));
  t.is(publisher.get("r2"), undefined, "its report could not be read");
});

test("what an earlier holder announced counts until its successor announces the replica", (t) => {
  const first = HeldModelsPublisher.create();
  const view = HeldModelsView.create();
  first.update([models("r1", ["a"]), models("r2", ["b"])]);
  view.apply(message(first, 0n, 1n), PUBLISHER);
  const second = HeldModelsPublisher.create();
  second.update([models("r1", ["c"])]);
  t.true(view.apply(message(second, 0n, 2n), PUBLISHER));
  t.deepEqual(contents(view), [models("r1", ["c"]), models("r2", ["b"])]);
});

test("with thousands of replaced replicas the published state stays bounded and a late gateway gets all of it", (t) => {
  const publisher = HeldModelsPublisher.create();
  const view = HeldModelsView.create();
  publisher.update([models("r0", ["a"])]);
  view.apply(message(publisher, 0n), PUBLISHER);
  const acknowledged = view.version;
  for (let i = 1; i <= 3000; i += 1) publisher.update([models(`r${i}`, ["a"])]);
  const change = message(publisher, acknowledged);
  t.true(change.replicas.length <= 101);
  t.true(view.apply(change, PUBLISHER));
  t.deepEqual(contents(view), [models("r3000", ["a"])]);
});

test("what an earlier holder announced is forgotten with its replica", (t) => {
  const first = HeldModelsPublisher.create();
  const view = HeldModelsView.create();
  first.update([models("r1", ["a"]), models("r2", ["b"])]);
  view.apply(message(first, 0n, 1n), PUBLISHER);
  view.apply(message(HeldModelsPublisher.create(), 0n, 2n), PUBLISHER);
  view.retainEarlier(new Set(["r2"]));
  t.deepEqual(contents(view), [models("r2", ["b"])]);
});

for (
  const [clock, firstVersion] of [["on", 2000], ["set back", 500]] as const
) {
  // Its messages were skipped until it had published as often as before.
  test(`a holder that starts again within its lease is followed at once, its clock ${clock}`, (t) => {
    const view = HeldModelsView.create();
    const before = HeldModelsPublisher.create({ firstVersion: 1000 });
    before.update([models("r1", ["a"])]);
    before.update([models("r1", ["a", "b"])]);
    t.true(view.apply(message(before, 0n), PUBLISHER));
    const after = HeldModelsPublisher.create({ firstVersion });
    after.update([models("r1", ["c"])]);
    t.true(view.apply(message(after, view.version), "gateway-1 2"));
    t.deepEqual(contents(view), [models("r1", ["c"])]);
    after.update([models("r1", ["c", "d"])]);
    t.true(view.apply(message(after, view.version), "gateway-1 2"));
    t.deepEqual(contents(view), [models("r1", ["c", "d"])]);
  });
}
