import test from "ava";
import { rankByDataCentre } from "./gateway_ranking.ts";

const GATEWAYS = Array.from({ length: 9 }, (_, i) => ({
  instance: `gw-${i}`,
  dataCentre: i < 6 ? "north" : "south",
}));

test("the first two gateways of a key are in two data centres", (t) => {
  for (let key = 0; key < 100; key += 1) {
    const ranked = rankByDataCentre(`stream-${key}`, GATEWAYS);
    t.deepEqual(new Set(ranked).size, GATEWAYS.length);
    const centres = ranked.slice(0, 2).map((name) =>
      GATEWAYS.find(({ instance }) => instance === name)!.dataCentre
    );
    t.is(new Set(centres).size, 2);
  }
});

test("keys are spread over the gateways, in any order of the list", (t) => {
  const first = new Set<string>();
  for (let key = 0; key < 200; key += 1) {
    const ranked = rankByDataCentre(`stream-${key}`, GATEWAYS);
    t.deepEqual(
      rankByDataCentre(`stream-${key}`, GATEWAYS.toReversed()),
      ranked,
    );
    first.add(ranked[0]!);
  }
  t.is(first.size, GATEWAYS.length);
  t.deepEqual(rankByDataCentre("stream", []), []);
});
