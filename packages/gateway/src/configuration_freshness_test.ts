import test from "ava";
import { ConfigurationFreshness } from "./configuration_freshness.ts";

function createFreshness() {
  let now = 0;
  let version = 5;
  const freshness = ConfigurationFreshness.create({
    clock: { now: () => now, wall: () => now },
    random: () => 0.5,
    liveCount: () => 4,
    version: () => version,
  });
  freshness.recordRead(0, 1);
  return {
    freshness,
    now: () => now,
    advance: (ms: number) => now += ms,
    accept: (newer: number) => version = newer,
  };
}

test("a configuration is outdated while another gateway has a newer one", (t) => {
  const { freshness, accept } = createFreshness();
  freshness.recordPeerReport({ version: 5, epoch: 1, ageMs: 10 });
  t.false(freshness.isOutdated);
  freshness.recordPeerReport({ version: 7, epoch: 1, ageMs: 10 });
  freshness.recordPeerReport({ version: 6, epoch: 1, ageMs: 10 });
  t.true(freshness.isOutdated);
  accept(7);
  t.false(freshness.isOutdated);
});

test("a configuration is outdated once any gateway has an answer from a restored store", (t) => {
  const { freshness, advance, now } = createFreshness();
  freshness.recordPeerReport({ version: 4, epoch: 2, ageMs: 10 });
  t.true(freshness.isOutdated);
  advance(100);
  freshness.recordRead(now(), 2);
  t.false(freshness.isOutdated);
  freshness.recordEpoch(3);
  t.true(freshness.isOutdated);
});

// A store that had lost the newest version was read without a pause.
test("a read that finds nothing newer ends it until the next report", (t) => {
  const { freshness, advance, now } = createFreshness();
  freshness.recordPeerReport({ version: 7, epoch: 1, ageMs: 10 });
  freshness.recordRead(now() - 20, 1);
  t.true(freshness.isOutdated, "the read began before the report");
  advance(100);
  freshness.recordRead(now(), 1);
  t.false(freshness.isOutdated);
  freshness.recordPeerReport({ version: 7, epoch: 1, ageMs: 10 });
  t.true(freshness.isOutdated);
});

test("only a read that saw this configuration or a newer one counts as a read", (t) => {
  const { freshness, advance } = createFreshness();
  advance(700);
  t.is(freshness.readDueInMs, 50);
  freshness.recordPeerReport({ version: 4, epoch: 1, ageMs: 10 });
  freshness.recordPeerReport({ version: 5, epoch: 0, ageMs: 10 });
  freshness.recordPeerReport({ version: 5, epoch: 1, ageMs: undefined });
  t.is(freshness.readDueInMs, 50);
  freshness.recordPeerReport({ version: 5, epoch: 1, ageMs: 10 });
  t.is(freshness.readDueInMs, 740);
});

test("a wait ends when the configuration becomes outdated, or is aborted", async (t) => {
  const { freshness } = createFreshness();
  const controller = new AbortController();
  const aborted = freshness.waitUntilOutdated(controller.signal);
  controller.abort();
  await aborted;
  t.false(freshness.isOutdated);
  const outdated = freshness.waitUntilOutdated(new AbortController().signal);
  freshness.recordEpoch(2);
  await outdated;
  t.true(freshness.isOutdated);
});
