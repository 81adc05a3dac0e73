import { Command, Option, type Usage } from "clipanion";
import { writeReport } from "../report.ts";
import { runSeed, type SeedResult } from "../run_seed.ts";

const MS_PER_S = 1000;

/** Runs seeds one after the other and reports what they break. */
export class SoakCommand extends Command {
  /** Words that select the command; it is the only one. */
  static override paths: string[][] = [Command.Default];
  /** Help text. */
  static override usage: Usage = Command.Usage({
    description: "Disturb real gateways by seeded faults and check promises",
    examples: [
      ["Fifty seeds", "$0 --seeds 50"],
      ["One seed again", "$0 --first 17 --seeds 1"],
      ["See that a fault is found", "$0 --seeds 1 --planted runTwice"],
    ],
  });
  /** Seeds to run. */
  seeds: string = Option.String("--seeds", "10", {
    description: "how many seeds to run",
  });
  /** First seed. */
  first: string = Option.String("--first", "1", {
    description: "the first seed",
  });
  /** Length of each. */
  seconds: string = Option.String("--seconds", "8", {
    description: "how long faults come in each run",
  });
  /** Gateways of each. */
  gateways: string = Option.String("--gateways", "3", {
    description: "gateways in each run",
  });
  /** Runs at the same time. */
  jobs: string = Option.String("--jobs", "1", {
    description: "runs at the same time",
  });
  /** Folder of the report. */
  out: string = Option.String("--out", "out/soak", {
    description: "folder of the report",
  });
  /** Fault planted on purpose. */
  planted?: "runTwice" | "passKeyOn" | "oldConfiguration" = Option.String(
    "--planted",
    { description: "runTwice, passKeyOn or oldConfiguration" },
  );

  /** Runs the command. */
  async execute(): Promise<number> {
    const first = Number(this.first);
    const waiting = Array.from(
      { length: Number(this.seeds) },
      (_, i) => first + i,
    );
    const results: SeedResult[] = [];
    const work = async () => {
      for (let seed = waiting.shift(); seed; seed = waiting.shift()) {
        results.push(await this.#run(seed));
      }
    };
    await Promise.all(Array.from({ length: Number(this.jobs) }, work));
    results.sort((a, b) => a.seed - b.seed);
    await writeReport(this.out, results);
    const failed = results.filter(({ violations: broken }) =>
      broken.length > 0
    );
    this.context.stdout.write(
      `${results.length} seeds, ${failed.length} with a broken promise; ` +
        `report in ${this.out}\n`,
    );
    return failed.length === 0 ? 0 : 1;
  }

  async #run(seed: number): Promise<SeedResult> {
    const result = await runSeed(seed, {
      durationMs: Number(this.seconds) * MS_PER_S,
      gateways: Number(this.gateways),
      planted: this.planted,
    });
    const { steps, sent, violations: broken } = result;
    this.context.stdout.write(
      `seed ${seed}: ${steps.length} faults, ${sent} requests, ` +
        `${broken.length} broken\n`,
    );
    for (const { invariant: promise, detail } of broken) {
      this.context.stdout.write(`  ${promise}: ${detail}\n`);
    }
    return result;
  }
}
