import test from "ava";
import type { OrganisationLimit } from "@banyanspool/types";
import { FleetBucket } from "./fleet_bucket.ts";

const LIMIT: OrganisationLimit = {
  name: "acme",
  ratePerS: 1000,
  burst: 1000,
  unit: "tokens",
  plainTokens: 10,
};

function createBucket({ initialShare = 1 } = {}) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const bucket = FleetBucket.create({ clock, initialShare });
  const hear = (total: number, incarnation = 1) =>
    bucket.recordReport({
      instance: "other",
      incarnation,
      totals: new Map([["acme", total]]),
    });
  return { bucket, hear, advance: (ms: number) => now += ms };
}

test("one greedy organisation: use stays at rate and burst and one request", (t) => {
  const { bucket, advance } = createBucket();
  let used = 0;
  for (let ms = 0; ms < 8000; ms += 10) {
    if (bucket.take(LIMIT, 100).kind === "taken") used += 100;
    advance(10);
  }
  t.true(used <= 8 * 1000 + 1000 + 100, `used ${used}`);
  t.true(used >= 8 * 1000);
});

test("large documents in debt don't hold up small bookings", (t) => {
  const { bucket } = createBucket();
  t.is(bucket.take(LIMIT, 1500).kind, "taken");
  t.is(bucket.take(LIMIT, 500).kind, "short");
  t.is(bucket.take(LIMIT, 10).kind, "taken");
});

test("a refusal says when the debt is repaid", (t) => {
  const { bucket } = createBucket();
  bucket.take(LIMIT, 1500);
  const short = bucket.take(LIMIT, 500);
  t.true(short.kind === "short" && Math.abs(short.waitMs - 501) < 1);
});

test("what another entry admitted is taken off here", (t) => {
  const { bucket, hear } = createBucket();
  bucket.take(LIMIT, 10);
  hear(5000);
  t.is(bucket.take(LIMIT, 100).kind, "taken", "its past before we heard it");
  hear(6000);
  t.is(bucket.take(LIMIT, 100).kind, "short");
});

test("an entry that restarts counts from zero again", (t) => {
  const { bucket, hear } = createBucket();
  bucket.take(LIMIT, 10);
  hear(5000);
  hear(100, 2);
  t.is(bucket.take(LIMIT, 800).kind, "taken", "100 were used, not a refund");
});

test("partition: each side of two spends half of the rate", (t) => {
  const { bucket, hear, advance } = createBucket();
  bucket.take(LIMIT, 10);
  hear(0);
  let used = 0;
  for (let ms = 0; ms < 8000; ms += 10) {
    if (bucket.take(LIMIT, 100).kind === "taken") used += 100;
    advance(10);
  }
  t.true(used <= 4 * 1000 + 1000 + 600 + 100, `used ${used}`);
});

test("a silent entry that used nothing gives its part back", (t) => {
  const { bucket, hear, advance } = createBucket();
  bucket.take(LIMIT, 1999);
  hear(0);
  advance(1000);
  bucket.take(LIMIT, 10);
  advance(1000);
  t.is(bucket.take(LIMIT, 600).kind, "short");
  hear(0);
  t.is(bucket.take(LIMIT, 600).kind, "taken");
});

test("a request that was never sent gets its tokens back", (t) => {
  const { bucket } = createBucket();
  bucket.take(LIMIT, 1000);
  bucket.refund(LIMIT, 1000);
  t.is(bucket.take(LIMIT, 1000).kind, "taken");
  t.is(bucket.ownTotals.get("acme"), 1000);
});

test("a new process starts with a part of the burst", (t) => {
  const { bucket } = createBucket({ initialShare: 0.25 });
  t.is(bucket.take(LIMIT, 250).kind, "taken");
  t.is(bucket.take(LIMIT, 30).kind, "short");
});
