import test from "ava";
import { EMPTY_SECTIONS } from "@banyanspool/config";
import { ConfigHolder } from "./config_holder.ts";

function createHolder() {
  const state = { now: 1000, changes: [] as number[] };
  const holder = ConfigHolder.create({
    clock: { now: () => state.now, wall: () => state.now },
    onChange: ({ version }) => state.changes.push(version),
  });
  return { holder, state };
}

const LIMITS = {
  ...EMPTY_SECTIONS,
  organisations: "[acme]\n",
  limits: "[acme]\nrate_tokens_per_s = 5\nburst_tokens = 7\n",
};

test("an older document from a lagging peer changes nothing", (t) => {
  const { holder, state } = createHolder();
  holder.offer(7, LIMITS, 900);
  holder.offer(6, EMPTY_SECTIONS, 950);
  t.is(holder.version, 7);
  t.is(holder.current?.document.limits.acme?.burst_tokens, 7);
  t.is(holder.confirmedAgeMs, 100, "nor does it confirm the newer one");
  t.deepEqual(state.changes, [7]);
});

test("news of a newer version ends the confirmation of the old one", (t) => {
  const { holder } = createHolder();
  holder.offer(7, LIMITS, 900);
  holder.confirm(8, 950);
  holder.confirm(7, 990);
  t.true(holder.isBehind);
  t.is(holder.confirmedAgeMs, 100);
});

test("confirmations only become younger", (t) => {
  const { holder } = createHolder();
  holder.offer(7, LIMITS, 900);
  holder.confirm(7, 800);
  t.is(holder.confirmedAgeMs, 100);
});

test("a document with faults is not put in force", (t) => {
  const { holder } = createHolder();
  holder.offer(7, LIMITS, 900);
  holder.offer(8, { ...LIMITS, limits: "[nobody]\n" }, 950);
  t.is(holder.version, 7);
});
