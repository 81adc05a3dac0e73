import test from "ava";
import fc from "fast-check";
import {
  APPLY_MS,
  type ConfigurationDefect,
  type ConfigurationResult,
  type ConfigurationScenario,
  simulateConfiguration,
  type TimedFault,
} from "./configuration_simulation.ts";

const SEED = 20261205;
const QUIET: ConfigurationScenario = {
  gateways: 30,
  changesAtMs: [5000, 9000],
  faults: [],
  lostShare: 0,
  durationMs: 14_000,
  seed: SEED,
};

function worstDelayMs({ changes }: ConfigurationResult): number {
  return Math.max(...changes.map(({ delayMs }) => delayMs));
}

/** Store calls a second besides those that each change costs each gateway. */
function idleCallsPerS(
  { gateways, changesAtMs, durationMs }: ConfigurationScenario,
  { storeCallsPerS }: ConfigurationResult,
): number {
  const forChanges = gateways * (changesAtMs.length + 2);
  return storeCallsPerS - forChanges / (durationMs / 1000);
}

const FAULTS: readonly { title: string; fault: TimedFault }[] = [
  // The wait of each call grew with the fleet, up to half a minute.
  {
    title: "a restore over which waiting calls go on",
    fault: {
      kind: "restoreKeepingCalls",
      atMs: 5500,
      forMs: 20,
      copyAgeMs: 5000,
    },
  },
  {
    title: "a restore that cuts waiting calls off",
    fault: {
      kind: "restoreCuttingCalls",
      atMs: 5500,
      forMs: 1000,
      copyAgeMs: 5000,
    },
  },
  // All calls had begun at the same change, so that they ended together.
  {
    title: "connections that go silent right before a change",
    fault: { kind: "silence", atMs: 8900, forMs: 0 },
  },
];

for (const gateways of [2, 8, 30, 100, 410]) {
  for (const { title, fault } of FAULTS) {
    test(`a change is in force at all of ${gateways} gateways in time after ${title}`, async (t) => {
      const scenario = { ...QUIET, gateways, faults: [fault] };
      const result = await simulateConfiguration(scenario);
      const worstMs = worstDelayMs(result);
      t.true(worstMs <= APPLY_MS, `${worstMs} ms`);
      t.is(result.regressions, 0);
      t.is(result.callsOverRate, 0);
    });
  }
}

const DEFECTS: readonly {
  defect: ConfigurationDefect;
  gateways: number;
  fault: TimedFault;
}[] = [
  { defect: "neverChecks", gateways: 2, fault: FAULTS[0]!.fault },
  { defect: "neverChecks", gateways: 30, fault: FAULTS[2]!.fault },
  { defect: "ignoresReports", gateways: 30, fault: FAULTS[2]!.fault },
  { defect: "tellsNobody", gateways: 410, fault: FAULTS[2]!.fault },
];

for (const { defect, gateways, fault } of DEFECTS) {
  test(`the defect ${defect} of ${gateways} gateways is found after ${fault.kind}`, async (t) => {
    const scenario = { ...QUIET, gateways, defect, faults: [fault] };
    const worstMs = worstDelayMs(await simulateConfiguration(scenario));
    t.true(worstMs > APPLY_MS, `${worstMs} ms`);
  });
}

test("the store's calls don't grow with the fleet while nothing changes", async (t) => {
  for (const gateways of [2, 30, 410]) {
    const scenario = { ...QUIET, gateways, durationMs: 60_000 };
    const result = await simulateConfiguration(scenario);
    const callsPerS = idleCallsPerS(scenario, result);
    // Two checks a second, and a call that waits for 30 s at each gateway.
    t.true(callsPerS <= 2 + gateways / 30 + 10, `${gateways}: ${callsPerS}`);
  }
});

test("no restores, outages, restarts, cuts and lost datagrams keep a change from being in force in time", async (t) => {
  const times = {
    atMs: fc.integer({ min: 1000, max: 15_000 }),
    forMs: fc.integer({ min: 10, max: 3000 }),
  };
  const fault: fc.Arbitrary<TimedFault> = fc.oneof(
    fc.record({
      kind: fc.constantFrom("restoreKeepingCalls", "restoreCuttingCalls"),
      copyAgeMs: fc.integer({ min: 0, max: 9000 }),
      ...times,
    }),
    fc.record({
      kind: fc.constantFrom("silence", "busy", "silent"),
      ...times,
    }),
    fc.record({
      kind: fc.constantFrom("restart", "cut"),
      gateway: fc.integer({ min: 0, max: 5 }),
      ...times,
    }),
  );
  await fc.assert(
    fc.asyncProperty(
      fc.array(fault, { maxLength: 6 }),
      fc.array(fc.integer({ min: 1000, max: 18_000 }), { maxLength: 5 }),
      fc.constantFrom(0, 0.1, 0.3),
      fc.integer({ min: 1, max: 1000 }),
      async (faults, changes, lostShare, seed) => {
        const result = await simulateConfiguration({
          gateways: 6,
          changesAtMs: changes.toSorted((a, b) => a - b),
          faults,
          lostShare,
          durationMs: 30_000,
          seed,
        });
        const worstMs = worstDelayMs(result);
        return worstMs <= APPLY_MS && result.regressions === 0;
      },
    ),
    { numRuns: 200, seed: SEED },
  );
  t.pass();
});
