import test from "ava";
import { EMPTY_SECTIONS } from "@banyanspool/config";
import { ConfigTracker } from "./config_tracker.ts";

function createTracker() {
  const state = { now: 1000, changes: [] as number[] };
  const tracker = ConfigTracker.create({
    clock: { now: () => state.now, wall: () => state.now },
    onChange: ({ version }) => state.changes.push(version),
  });
  return { tracker, state };
}

const SECTION_VERSIONS = {
  models: 0,
  organisations: 5,
  limits: 7,
  instances: 0,
  routes: 0,
};

function applyDocument(
  tracker: ConfigTracker,
  version: number,
  { texts, at }: { texts: typeof EMPTY_SECTIONS; at: number },
): void {
  tracker.applyDocument(
    { version, texts, sectionVersions: SECTION_VERSIONS },
    at,
  );
}

const LIMITS = {
  ...EMPTY_SECTIONS,
  organisations: "[acme]\n",
  limits: "[acme]\nrate_tokens_per_s = 5\nburst_tokens = 7\n",
};

test("an older document from a lagging peer has no effect", (t) => {
  const { tracker, state } = createTracker();
  applyDocument(tracker, 7, { texts: LIMITS, at: 900 });
  applyDocument(tracker, 6, { texts: EMPTY_SECTIONS, at: 950 });
  t.is(tracker.version, 7);
  t.is(tracker.current?.document.limits.acme?.burst_tokens, 7);
  t.is(tracker.confirmedAgeMs, 100, "it does not confirm the newer version");
  t.deepEqual(state.changes, [7]);
});

test("once a newer version is known, the active one is not confirmed", (t) => {
  const { tracker } = createTracker();
  applyDocument(tracker, 7, { texts: LIMITS, at: 900 });
  tracker.confirm(8, 950);
  tracker.confirm(7, 990);
  t.true(tracker.isBehind);
  t.is(tracker.confirmedAgeMs, 100);
});

test("an older confirmation does not replace a newer one", (t) => {
  const { tracker } = createTracker();
  applyDocument(tracker, 7, { texts: LIMITS, at: 900 });
  tracker.confirm(7, 800);
  t.is(tracker.confirmedAgeMs, 100);
});

test("an invalid document does not become active", (t) => {
  const { tracker } = createTracker();
  applyDocument(tracker, 7, { texts: LIMITS, at: 900 });
  applyDocument(tracker, 8, {
    texts: { ...LIMITS, limits: "[nobody]\n" },
    at: 950,
  });
  t.is(tracker.version, 7);
});

test("a change holds only changed sections and applies to one version", (t) => {
  const { tracker } = createTracker();
  applyDocument(tracker, 7, { texts: LIMITS, at: 900 });
  const change = tracker.changeSince(6)!;
  t.deepEqual(Object.keys(change.texts), ["limits"]);
  const { tracker: peer } = createTracker();
  peer.applyChange(7, change, 950);
  t.is(peer.version, 0, "the change applies to another version");
  applyDocument(peer, 6, { texts: { ...LIMITS, limits: "" }, at: 900 });
  peer.applyChange(7, change, 950);
  t.is(peer.version, 7);
  t.deepEqual(peer.current?.texts, LIMITS);
  t.is(tracker.changeSince(7), undefined);
});
