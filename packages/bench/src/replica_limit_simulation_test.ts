import test from "ava";
import fc from "fast-check";
import {
  LIMIT_WINDOW_MS,
  type ReplicaLimitScenario,
  simulateReplicaLimit,
} from "./replica_limit_simulation.ts";

const SEED = 20261204;

const STEADY: ReplicaLimitScenario = {
  gateways: 5,
  limitPerS: 1.2,
  requestsPerS: 20,
  firstGatewayShare: 0.2,
  lostShare: 0,
  durationMs: 20_000,
  faults: [],
  seed: SEED,
};

/** Most requests that may reach the replica in a window. */
function allowedBy({ limitPerS }: ReplicaLimitScenario): number {
  return 1.5 * limitPerS * LIMIT_WINDOW_MS / 1000 + 5;
}

const FLEETS = [
  { gateways: 4, limitPerS: 1.2, firstGatewayShare: 0.25 },
  { gateways: 30, limitPerS: 1.2, firstGatewayShare: 0.8 },
  { gateways: 100, limitPerS: 20, firstGatewayShare: 0.01 },
  { gateways: 410, limitPerS: 0.2, firstGatewayShare: 0.8 },
  { gateways: 410, limitPerS: 0.2, firstGatewayShare: 1 / 410 },
];

for (const fleet of FLEETS) {
  const { gateways, limitPerS, firstGatewayShare } = fleet;
  // A limit that each gateway kept on its own was exceeded by all together.
  test(`${gateways} gateways together keep a limit of ${limitPerS} a second and use it, with ${firstGatewayShare.toFixed(2)} of the requests at one`, async (t) => {
    const scenario = { ...STEADY, ...fleet };
    const { worstWindow, usedShare } = await simulateReplicaLimit(scenario);
    t.true(worstWindow <= allowedBy(scenario), `${worstWindow} requests`);
    t.true(usedShare > 0.5, `${usedShare} of the limit used`);
  });
}

// A gateway that issued permits beside its successor would double the limit.
test("no restarts, freezes, cuts and losses of messages let more requests through than a limit allows", async (t) => {
  const fault = fc.record({
    kind: fc.constantFrom("restart", "freeze", "cut" as const),
    gateway: fc.integer({ min: 0, max: 4 }),
    atMs: fc.integer({ min: 0, max: 18_000 }),
    forMs: fc.integer({ min: 100, max: 6000 }),
  });
  await fc.assert(
    fc.asyncProperty(
      fc.array(fault, { maxLength: 8 }),
      fc.constantFrom(0.2, 1.2, 2.5, 20),
      fc.constantFrom(0, 0.1, 0.5),
      fc.integer({ min: 1, max: 1000 }),
      async (faults, limitPerS, lostShare, seed) => {
        const scenario = { ...STEADY, faults, limitPerS, lostShare, seed };
        const requestsPerS = Math.max(20, 4 * limitPerS);
        const { worstWindowOfAll } = await simulateReplicaLimit({
          ...scenario,
          requestsPerS,
        });
        return worstWindowOfAll <= allowedBy(scenario);
      },
    ),
    { seed: SEED, numRuns: 60 },
  );
  t.pass();
});
