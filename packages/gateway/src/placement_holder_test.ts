import test from "ava";
import { PlacementHolder } from "./placement_holder.ts";

function createHolder(gateways = 40) {
  let now = 0;
  const holder = PlacementHolder.create({
    clock: { now: () => now, wall: () => now },
  });
  const names = Array.from({ length: gateways }, (_, i) => `gw-${i}`);
  const countCandidates = () =>
    names.filter((name) =>
      holder.isCandidate(
        name,
        new Map(names.filter((other) => other !== name).map((n) => [n, 0])),
      )
    ).length;
  return { holder, countCandidates, advance: (ms: number) => now += ms };
}

test("few gateways poll the lease while its holder is live, more and more while it is lost", (t) => {
  const { holder, countCandidates, advance } = createHolder();
  holder.recordHolder({ instance: "gw-7", token: 1n });
  t.is(countCandidates(), 2);
  advance(2000);
  t.is(countCandidates(), 2);
  advance(500);
  t.is(countCandidates(), 4);
  advance(1000);
  t.is(countCandidates(), 16);
  advance(5000);
  t.is(countCandidates(), 40);
});

test("a holder that gives up the lease is not waited for", (t) => {
  const { holder, countCandidates, advance } = createHolder();
  holder.recordHolder({ instance: "gw-7", token: 1n });
  holder.recordOther("gw-8");
  t.is(holder.instance, "gw-7");
  holder.recordOther("gw-7");
  t.is(holder.instance, undefined);
  advance(500);
  t.is(countCandidates(), 4);
});

test("an earlier holder doesn't replace the current one", (t) => {
  const { holder } = createHolder();
  t.true(holder.recordHolder({ instance: "gw-1", token: 2n }));
  t.false(holder.recordHolder({ instance: "gw-2", token: 1n }));
  t.is(holder.instance, "gw-1");
});

test("a gateway that hears no other polls the lease", (t) => {
  const { holder } = createHolder();
  t.true(holder.isCandidate("gw-1", new Map([["gw-2", 5000]])));
});
