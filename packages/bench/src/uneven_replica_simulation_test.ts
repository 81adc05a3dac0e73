import test from "ava";
import {
  type SelectionPolicy,
  simulateUnevenReplicas,
} from "./uneven_replica_simulation.ts";

const SEED = 20_261_206;

async function p99Of(
  policy: SelectionPolicy,
  firstDataCentreShare: number,
): Promise<number> {
  const times = await simulateUnevenReplicas({
    gateways: 100,
    policy,
    firstDataCentreShare,
    durationMs: 3000,
    seed: SEED,
  });
  return times[Math.ceil(0.99 * times.length) - 1]!;
}

test("a herd of gateways with the same old figures: few wait longer than with least outstanding", async (t) => {
  const trackerMs = await p99Of("tracker", 0.5);
  const leastMs = await p99Of("least outstanding", 0.5);
  t.true(trackerMs < leastMs, `${trackerMs} and ${leastMs}`);
});

test("all callers in one data centre: replicas of both serve them", async (t) => {
  const oneMs = await p99Of("tracker", 1);
  const bothMs = await p99Of("tracker", 0.5);
  t.true(oneMs < 1.5 * bothMs, `${oneMs} and ${bothMs}`);
});
