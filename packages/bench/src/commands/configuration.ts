import { mkdir, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { Command, Option, type Usage, UsageError } from "clipanion";
import {
  type ConfigurationResult,
  type ConfigurationScenario,
  simulateConfiguration,
  type TimedFault,
} from "../configuration_simulation.ts";
import { type InForcePoint, plotTimesInForce } from "../plot.ts";

const FLEET_SIZES = [2, 30, 100, 410] as const;
/** Changes of 40 s at 9,000 a day, and one right after the fault. */
const CHANGES_AT_MS = [6000, 11_500, 18_000, 27_600, 37_200];
const DURATION_MS = 45_000;
const FAULT_AT_MS = 11_000;
/** Points of each curve of the plot. */
const PLOT_POINTS = 100;

const CASES: readonly {
  name: string;
  faults: readonly TimedFault[];
  lostShare: number;
}[] = [
  { name: "no fault", faults: [], lostShare: 0 },
  { name: "a tenth of the datagrams lost", faults: [], lostShare: 0.1 },
  {
    name: "restore, waiting calls kept",
    faults: [{
      kind: "restoreKeepingCalls",
      atMs: FAULT_AT_MS,
      forMs: 20,
      copyAgeMs: 9000,
    }],
    lostShare: 0,
  },
  {
    name: "restore, waiting calls cut",
    faults: [{
      kind: "restoreCuttingCalls",
      atMs: FAULT_AT_MS,
      forMs: 1000,
      copyAgeMs: 9000,
    }],
    lostShare: 0,
  },
  {
    name: "connections silent, a tenth lost",
    faults: [{ kind: "silence", atMs: FAULT_AT_MS, forMs: 0 }],
    lostShare: 0.1,
  },
  {
    name: "store answers nothing for 4 s",
    faults: [{ kind: "silent", atMs: FAULT_AT_MS, forMs: 4000 }],
    lostShare: 0,
  },
];

/** Simulates how soon a change is in force at all gateways. */
export class ConfigurationCommand extends Command {
  static override paths: string[][] = [["configuration"]];
  static override usage: Usage = Command.Usage({
    description: "Simulate how soon a change is in force at all gateways",
    details: "Writes times_in_force.csv and times_in_force.svg to the folder.",
    examples: [["Five seeds", "$0 configuration --out out --seeds 5"]],
  });
  out: string = Option.String("--out", { required: true });
  seeds: string = Option.String("--seeds", "3");

  async execute(): Promise<number> {
    const seeds = Number(this.seeds);
    if (!Number.isInteger(seeds) || seeds < 1) {
      throw new UsageError(
        `Cannot use --seeds "${this.seeds}": expected a whole number from 1`,
      );
    }
    const rows = [
      "case,gateways,p50_ms,p99_ms,worst_ms,regressions,store_calls_per_s",
    ];
    const points: InForcePoint[] = [];
    for (const { name, faults, lostShare } of CASES) {
      for (const gateways of FLEET_SIZES) {
        const scenario = {
          gateways,
          faults,
          lostShare,
          changesAtMs: CHANGES_AT_MS,
          durationMs: DURATION_MS,
        };
        const summary = summarise(await playSeeds(scenario, seeds));
        const row = [
          name.replaceAll(",", ";"),
          gateways,
          summary.at(0.5).toFixed(0),
          summary.at(0.99).toFixed(0),
          summary.at(1).toFixed(0),
          summary.regressions,
          summary.storeCallsPerS.toFixed(1),
        ].join(",");
        rows.push(row);
        this.context.stdout.write(`${row}\n`);
        for (let i = 0; i <= PLOT_POINTS; i += 1) {
          const share = i / PLOT_POINTS;
          const delayMs = summary.at(share);
          points.push({ delayMs, share, curve: String(gateways), plot: name });
        }
      }
    }
    await mkdir(this.out, { recursive: true });
    const write = (file: string, text: string) =>
      writeFile(join(this.out, file), text);
    await write("times_in_force.csv", `${rows.join("\n")}\n`);
    await write("times_in_force.svg", await plotTimesInForce(points));
    return 0;
  }
}

async function playSeeds(
  scenario: Omit<ConfigurationScenario, "seed">,
  seeds: number,
): Promise<ConfigurationResult[]> {
  const results: ConfigurationResult[] = [];
  for (let seed = 1; seed <= seeds; seed += 1) {
    results.push(await simulateConfiguration({ ...scenario, seed }));
  }
  return results;
}

function summarise(results: readonly ConfigurationResult[]) {
  const delays = results
    .flatMap(({ changes }) => changes.map(({ delayMs }) => delayMs))
    .sort((a, b) => a - b);
  const sum = (value: (result: ConfigurationResult) => number) =>
    results.reduce((total, result) => total + value(result), 0);
  return {
    /** Time within which a share of the changes was in force, in ms. */
    at: (share: number) =>
      delays[Math.max(0, Math.ceil(share * delays.length) - 1)] ?? 0,
    regressions: sum(({ regressions }) => regressions),
    storeCallsPerS: sum((result) => result.storeCallsPerS) / results.length,
  };
}
