import test from "ava";
import { EMPTY_SECTIONS } from "@banyanspool/config";
import { ConfigTracker } from "./config_tracker.ts";

function createHolder() {
  const state = { now: 1000, changes: [] as number[] };
  const holder = ConfigTracker.create({
    clock: { now: () => state.now, wall: () => state.now },
    onChange: ({ version }) => state.changes.push(version),
  });
  return { holder, state };
}

const SECTION_VERSIONS = {
  models: 0,
  organisations: 5,
  limits: 7,
  instances: 0,
  routes: 0,
};

function offer(
  holder: ConfigTracker,
  version: number,
  { texts, at }: { texts: typeof EMPTY_SECTIONS; at: number },
): void {
  holder.applyDocument(
    { version, texts, sectionVersions: SECTION_VERSIONS },
    at,
  );
}

const LIMITS = {
  ...EMPTY_SECTIONS,
  organisations: "[acme]\n",
  limits: "[acme]\nrate_tokens_per_s = 5\nburst_tokens = 7\n",
};

test("an older document from a lagging peer changes nothing", (t) => {
  const { holder, state } = createHolder();
  offer(holder, 7, { texts: LIMITS, at: 900 });
  offer(holder, 6, { texts: EMPTY_SECTIONS, at: 950 });
  t.is(holder.version, 7);
  t.is(holder.current?.document.limits.acme?.burst_tokens, 7);
  t.is(holder.confirmedAgeMs, 100, "nor does it confirm the newer one");
  t.deepEqual(state.changes, [7]);
});

test("news of a newer version ends the confirmation of the old one", (t) => {
  const { holder } = createHolder();
  offer(holder, 7, { texts: LIMITS, at: 900 });
  holder.confirm(8, 950);
  holder.confirm(7, 990);
  t.true(holder.isBehind);
  t.is(holder.confirmedAgeMs, 100);
});

test("confirmations only become younger", (t) => {
  const { holder } = createHolder();
  offer(holder, 7, { texts: LIMITS, at: 900 });
  holder.confirm(7, 800);
  t.is(holder.confirmedAgeMs, 100);
});

test("a document with faults is not put in force", (t) => {
  const { holder } = createHolder();
  offer(holder, 7, { texts: LIMITS, at: 900 });
  offer(holder, 8, { texts: { ...LIMITS, limits: "[nobody]\n" }, at: 950 });
  t.is(holder.version, 7);
});

test("only changed sections are passed on, and only to who can use them", (t) => {
  const { holder } = createHolder();
  offer(holder, 7, { texts: LIMITS, at: 900 });
  const change = holder.changeSince(6)!;
  t.deepEqual(Object.keys(change.texts), ["limits"]);
  const { holder: peer } = createHolder();
  peer.applyChange(7, change, 950);
  t.is(peer.version, 0, "it has another version than the change is for");
  offer(peer, 6, { texts: { ...LIMITS, limits: "" }, at: 900 });
  peer.applyChange(7, change, 950);
  t.is(peer.version, 7);
  t.deepEqual(peer.current?.texts, LIMITS);
  t.is(holder.changeSince(7), undefined);
});
