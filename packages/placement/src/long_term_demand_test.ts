import test from "ava";
import { LongTermDemand } from "./long_term_demand.ts";

const MINUTE_MS = 60_000;
const ROUND_MS = 100;

function createLongTermDemand() {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const longTerm = LongTermDemand.create({ clock });
  /** Records a demand in each planning round for a time. */
  const recordFor = (ms: number, slowReplicas: number) => {
    const demand = slowReplicas > 0
      ? new Map([["m", { model: "m", fastReplicas: 0, slowReplicas }]])
      : new Map();
    for (const end = now + ms; now < end; now += ROUND_MS) {
      longTerm.record(demand);
    }
  };
  return { longTerm, recordFor, pause: (ms: number) => now += ms };
}

// Rounds follow each other so quickly that the share of one was negligible.
test("the average of a rare model's demand outlasts its requests by minutes, and ends", (t) => {
  const { longTerm, recordFor } = createLongTermDemand();
  recordFor(2 * MINUTE_MS, 0.002);
  const average = longTerm.averageOf("m");
  t.true(average > 0.0005 && average < 0.002, `${average}`);
  recordFor(MINUTE_MS, 0);
  t.true(longTerm.averageOf("m") > average / 2);
  recordFor(60 * MINUTE_MS, 0);
  t.is(longTerm.averageOf("m"), 0);
});

test("a burst after a pause without records doesn't count for the pause", (t) => {
  const { longTerm, recordFor, pause } = createLongTermDemand();
  pause(30 * MINUTE_MS);
  recordFor(1000, 0.3);
  t.true(longTerm.averageOf("m") < 0.003);
});

// In the first seconds of a lease each model without a request yet was unloaded
// as one that nobody wants, and loaded again for its next request.
test("a model without a request in the first seconds is expected to be requested as often as others", (t) => {
  const { longTerm, recordFor } = createLongTermDemand();
  const expected = () => longTerm.expectedOf(["m", "other"]);
  t.deepEqual([...expected().values()], [0, 0]);
  recordFor(3000, 0.02);
  t.true(expected().get("other")! > 0.008);
  t.true(expected().get("m")! > expected().get("other")!);
  recordFor(10 * MINUTE_MS, 0.02);
  t.true(expected().get("other")! < 0.002);
  t.true(Math.abs(expected().get("m")! - 0.02) < 0.002);
});
