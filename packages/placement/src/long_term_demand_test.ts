import test from "ava";
import { LongTermDemand } from "./long_term_demand.ts";

const MINUTE_MS = 60_000;

function demandFor(model: string, slowReplicas: number) {
  return new Map([[model, { model, fastReplicas: 0, slowReplicas }]]);
}

test("the average of a model's demand over minutes outlasts its requests, and ends", (t) => {
  let now = 0;
  const longTerm = LongTermDemand.create({
    clock: { now: () => now, wall: () => now },
  });
  for (; now < MINUTE_MS; now += 1000) longTerm.record(demandFor("m", 0.1));
  t.true(longTerm.of("m") > 0.01 && longTerm.of("m") < 0.1);
  now += MINUTE_MS;
  longTerm.record(new Map());
  t.true(longTerm.of("m") > 0.01);
  now += 60 * MINUTE_MS;
  longTerm.record(new Map());
  t.is(longTerm.of("m"), 0);
});
