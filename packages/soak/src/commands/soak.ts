import { Command, Option, type Usage } from "clipanion";
import type { InjectedFault } from "../injected_fault.ts";
import { writeReport } from "../report.ts";
import { runSeed, type SeedResult } from "../run_seed.ts";

const MS_PER_S = 1000;

/** Runs seeds, `--jobs` of them at a time, and reports their violations. */
export class SoakCommand extends Command {
  /** The command needs no name, as it is the only one. */
  static override paths: string[][] = [Command.Default];
  /** Help text. */
  static override usage: Usage = Command.Usage({
    description: "Inject seeded faults into gateways and check invariants",
    examples: [
      ["Run fifty seeds", "$0 --seeds 50"],
      ["Repeat one seed", "$0 --first 17 --seeds 1"],
      ["Check that a defect is found", "$0 --seeds 1 --planted runTwice"],
    ],
  });
  /** Number of seeds to run. */
  seeds: string = Option.String("--seeds", "10", {
    description: "number of seeds to run",
  });
  /** First seed; the others follow in ascending order. */
  first: string = Option.String("--first", "1", {
    description: "first seed",
  });
  /** Time in which faults start in each run, in s. */
  seconds: string = Option.String("--seconds", "8", {
    description: "time in which faults start in each run, in seconds",
  });
  /** Number of gateways in each run. */
  gateways: string = Option.String("--gateways", "3", {
    description: "number of gateways in each run",
  });
  /** Number of runs at the same time. */
  jobs: string = Option.String("--jobs", "1", {
    description: "number of runs at the same time",
  });
  /** Folder that the report is written to. */
  out: string = Option.String("--out", "out/soak", {
    description: "folder that the report is written to",
  });
  /** Defect to inject into the gateways. */
  injectedFault?: InjectedFault = Option.String("--planted", {
    description:
      "defect to inject: runTwice, passKeyOn, oldConfiguration, waitsOnly, " +
      "ignoreVersion, guessVersion, versionAlone, fenceFromStore, " +
      "ignoreEpoch, issueAlone, countAlone, " +
      "forgetRepeats, ignoreLeaving, ignorePause or trustResponses",
  });

  /** Runs all seeds; the exit code is 1 if any of them has violations. */
  async execute(): Promise<number> {
    const first = Number(this.first);
    const seeds = Array.from(
      { length: Number(this.seeds) },
      (_, i) => first + i,
    );
    const results: SeedResult[] = [];
    const runWaiting = async () => {
      for (
        let seed = seeds.shift();
        seed !== undefined;
        seed = seeds.shift()
      ) {
        results.push(await this.#run(seed));
      }
    };
    await Promise.all(Array.from({ length: Number(this.jobs) }, runWaiting));
    results.sort((a, b) => a.seed - b.seed);
    await writeReport(this.out, results);
    const failed = results.filter(({ violations }) => violations.length > 0);
    this.context.stdout.write(
      `${results.length} seeds, ${failed.length} with violations; ` +
        `report in ${this.out}\n`,
    );
    return failed.length === 0 ? 0 : 1;
  }

  async #run(seed: number): Promise<SeedResult> {
    const result = await runSeed(seed, {
      durationMs: Number(this.seconds) * MS_PER_S,
      gateways: Number(this.gateways),
      injectedFault: this.injectedFault,
    });
    const { steps, sent, peakMemoryMib, violations } = result;
    this.context.stdout.write(
      `seed ${seed}: ${steps.length} faults, ${sent} requests, ` +
        `${Math.round(peakMemoryMib)} MiB, ${violations.length} violations\n`,
    );
    for (const { invariant, detail } of violations) {
      this.context.stdout.write(`  ${invariant}: ${detail}\n`);
    }
    return result;
  }
}
