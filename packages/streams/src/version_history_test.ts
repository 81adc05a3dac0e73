import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { VersionHistory } from "./version_history.ts";

function createHistory(isFirstStart: boolean) {
  let now = 0;
  const history = VersionHistory.create({
    clock: { now: () => now, wall: () => now },
    isFirstStart,
    windowMs: 30_000,
  });
  const list = (...versions: string[]) => {
    history.update(
      versions.map((softwareVersion) =>
        ({ service: "pool", softwareVersion }) as BackendServer
      ),
    );
    history.confirm({ ageMs: 0 });
  };
  /** Passes time in which the list is confirmed every second. */
  const advance = (ms: number) => {
    for (let passed = 0; passed < ms; passed += 1000) {
      now += 1000;
      history.confirm({ ageMs: 0 });
    }
  };
  const advanceUnconfirmed = (ms: number) => now += ms;
  return { history, list, advance, advanceUnconfirmed };
}

test("a single version is certain at once only at the first start", (t) => {
  const first = createHistory(true);
  first.list("v1");
  t.is(first.history.onlyVersion("pool"), "v1");
  const restarted = createHistory(false);
  restarted.list("v1");
  t.is(restarted.history.onlyVersion("pool"), undefined);
  restarted.advance(30_000);
  restarted.list("v1");
  t.is(restarted.history.onlyVersion("pool"), "v1");
});

test("a version counts for as long as its streams may be taken up", (t) => {
  const { history, list, advance } = createHistory(true);
  list("v1", "v2");
  t.is(history.onlyVersion("pool"), undefined);
  advance(20_000);
  list("v2");
  t.is(history.onlyVersion("pool"), undefined);
  advance(20_000);
  list("v2");
  t.is(history.onlyVersion("pool"), "v2");
  t.is(history.onlyVersion("other"), undefined);
});

// A gateway that was cut off would take a stream of a version that it never saw
// for one of the version that it knows.
test("a single version is not certain while the list isn't confirmed, nor soon after", (t) => {
  const { history, list, advance, advanceUnconfirmed } = createHistory(true);
  list("v1");
  advanceUnconfirmed(2500);
  t.is(history.onlyVersion("pool"), undefined);
  advanceUnconfirmed(40_000);
  list("v2");
  t.is(history.onlyVersion("pool"), undefined);
  advance(30_000);
  t.is(history.onlyVersion("pool"), "v2");
});

// A gateway that had started without a record recorded the only version that it
// had seen, and the next one joined streams of an earlier version with it.
test("a gateway records no versions of a service whose earlier ones it doesn't know", (t) => {
  const first = createHistory(true);
  first.list("v1");
  t.deepEqual([...first.history.versions], [["pool", ["v1"]]]);
  const restarted = createHistory(false);
  restarted.list("v2", "v3");
  t.deepEqual([...restarted.history.versions], []);
  t.true(restarted.history.hasSeveral);
  restarted.history.recall("pool", ["v1"]);
  t.deepEqual([...restarted.history.versions], [["pool", ["v1", "v2", "v3"]]]);
  const observing = createHistory(false);
  observing.list("v2");
  observing.advance(30_000);
  observing.list("v2");
  t.deepEqual([...observing.history.versions], [["pool", ["v2"]]]);
});
