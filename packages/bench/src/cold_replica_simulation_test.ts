import test from "ava";
import fc from "fast-check";
import {
  type ReplicaLimitScenario,
  simulateReplicaLimit,
} from "./replica_limit_simulation.ts";

const SEED = 20261206;
const ISSUED_SHARE = 0.6;
const COLD_PER_S = 6.9;
/** Requests that may reach a cold replica in any second. */
const ALLOWED = 1.5 * COLD_PER_S + 5;

/** All gateways start together and have requests from the first moment on. */
const COLD: ReplicaLimitScenario = {
  gateways: 4,
  limitPerS: COLD_PER_S * ISSUED_SHARE,
  requestsPerS: 200,
  firstGatewayShare: 0.25,
  lostShare: 0,
  durationMs: 8000,
  faults: [],
  seed: SEED,
  windowMs: 1000,
  learnMs: 500,
  settleMs: 2000,
};

for (const gateways of [4, 30, 100]) {
  // Gateways that didn't know each other each used up the limit.
  test(`${gateways} gateways that have just started send a cold replica no more than it takes`, async (t) => {
    const scenario = { ...COLD, gateways, firstGatewayShare: 1 / gateways };
    const { worstWindowOfAll } = await simulateReplicaLimit(scenario);
    t.true(worstWindowOfAll > 0, "it is warmed by requests");
    t.true(worstWindowOfAll <= ALLOWED, `${worstWindowOfAll} requests`);
  });
}

const FAULTS = fc.array(
  fc.record({
    kind: fc.constantFrom("restart", "freeze", "cut" as const),
    gateway: fc.integer({ min: 0, max: 4 }),
    atMs: fc.integer({ min: 0, max: 7000 }),
    forMs: fc.integer({ min: 100, max: 3000 }),
  }),
  { maxLength: 8 },
);

/** The worst second of all runs, whatever gateways are in touch. */
async function findWorst(scenario: ReplicaLimitScenario): Promise<number> {
  let worst = 0;
  await fc.assert(
    fc.asyncProperty(
      FAULTS,
      fc.constantFrom(0, 0.1, 0.5),
      fc.integer({ min: 1, max: 1000 }),
      async (faults, lostShare, seed) => {
        const { worstWindowOfAll } = await simulateReplicaLimit({
          ...scenario,
          faults,
          lostShare,
          seed,
        });
        worst = Math.max(worst, worstWindowOfAll);
      },
    ),
    { numRuns: 150, seed: SEED },
  );
  return worst;
}

test("no restarts, freezes, cuts and losses of messages send a cold replica more than it takes", async (t) => {
  const worst = await findWorst({ ...COLD, gateways: 5 });
  t.true(worst <= ALLOWED, `${worst} requests`);
});

test("no faults send a cold replica more than it takes from gateways that issue once they have heard all others", async (t) => {
  const worst = await findWorst({ ...COLD, gateways: 5, heardShare: 1 });
  t.true(worst <= ALLOWED, `${worst} requests`);
});

for (const gateways of [1, 4, 30, 100]) {
  // A start of all after a loss of power: requests were refused for two seconds.
  test(`${gateways} gateways that return together serve from a cold replica within the first second, and no more than it takes`, async (t) => {
    const scenario = {
      ...COLD,
      gateways,
      firstGatewayShare: 1 / gateways,
      heardShare: 1,
    };
    const early = await simulateReplicaLimit({ ...scenario, durationMs: 1000 });
    t.true(early.worstWindowOfAll > 0);
    const { worstWindowOfAll } = await simulateReplicaLimit(scenario);
    t.true(worstWindowOfAll <= ALLOWED, `${worstWindowOfAll} requests`);
  });
}

for (const coldPerS of [COLD_PER_S, 60]) {
  test(`three sides of a cut send a cold replica that takes ${coldPerS} a second no more than that`, async (t) => {
    const faults = [0, 1].map((gateway) => ({
      kind: "cut" as const,
      gateway,
      atMs: 3000,
      forMs: 4000,
    }));
    for (let seed = 1; seed <= 10; seed += 1) {
      const { worstWindowOfAll } = await simulateReplicaLimit({
        ...COLD,
        limitPerS: coldPerS * ISSUED_SHARE,
        requestsPerS: 400,
        faults,
        heardShare: 1,
        seed,
      });
      const allowed = 1.5 * coldPerS + 5;
      t.true(worstWindowOfAll <= allowed, `${worstWindowOfAll} requests`);
    }
  });
}

test("the simulation finds gateways that return and don't wait for the others", async (t) => {
  const { worstWindowOfAll } = await simulateReplicaLimit({
    ...COLD,
    gateways: 100,
    firstGatewayShare: 1 / 100,
    heardShare: 0,
    learnMs: 6000,
    requestsPerS: 2000,
  });
  t.true(worstWindowOfAll > ALLOWED, `${worstWindowOfAll} requests`);
});

test("the simulation finds gateways that issue before they know each other", async (t) => {
  const { worstWindowOfAll } = await simulateReplicaLimit({
    ...COLD,
    gateways: 30,
    firstGatewayShare: 1 / 30,
    settleMs: 0,
    requestsPerS: 1000,
  });
  t.true(worstWindowOfAll > ALLOWED, `${worstWindowOfAll} requests`);
});
