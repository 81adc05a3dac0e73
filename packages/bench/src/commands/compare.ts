import { Command, Option, type Usage } from "clipanion";
import { POLICY_NAMES, type PolicyName } from "../policies.ts";
import { type ReplayReport, replayTrace } from "../replay.ts";
import { type SiteName, SITES } from "../sites.ts";
import { openTrace } from "../trace_files.ts";
import { type ScenarioName, SCENARIOS } from "../trace_generator.ts";

const COLUMNS = [
  "attainment_per_accelerator",
  "worst_organisation_attainment",
  "refused_in_rate",
  "model_moves",
  "first_token_p95_ms",
  "attempts_per_request",
] as const satisfies readonly (keyof ReplayReport)[];

/** Prints a Markdown table that compares policies over scenarios and seeds. */
export class CompareCommand extends Command {
  static override paths: string[][] = [["compare"]];
  static override usage: Usage = Command.Usage({
    description: "Compare policies over scenarios and seeds",
    examples: [["Five seeds", "$0 compare vaalrand --seeds 5"]],
  });
  site: string = Option.String();
  seeds: string = Option.String("--seeds", "5");
  scenarios: string = Option.String("--scenarios", SCENARIOS.join(","));
  policies: string = Option.String("--policies", POLICY_NAMES.join(","));

  async execute(): Promise<number> {
    const site = SITES[this.site as SiteName];
    if (!site) {
      this.context.stderr.write(`Unknown deployment "${this.site}"\n`);
      return 2;
    }
    this.#writeRow(["scenario", "policy", ...COLUMNS]);
    this.#writeRow(["---", "---", ...COLUMNS.map(() => "---")]);
    for (const scenario of this.scenarios.split(",") as ScenarioName[]) {
      for (const policy of this.policies.split(",") as PolicyName[]) {
        const reports: ReplayReport[] = [];
        for (let seed = 1; seed <= Number(this.seeds); seed += 1) {
          const trace = openTrace(site, { scenario, seed });
          const options = { site, scenario, trace, policy, seed };
          reports.push((await replayTrace(options)).report);
        }
        const cells = COLUMNS.map((column) => summarise(reports, column));
        this.#writeRow([scenario, policy, ...cells]);
      }
    }
    return 0;
  }

  #writeRow(cells: readonly string[]): void {
    this.context.stdout.write(`| ${cells.join(" | ")} |\n`);
  }
}

/** Formats mean and range of a measure over the seeds. */
function summarise(
  reports: readonly ReplayReport[],
  column: typeof COLUMNS[number],
): string {
  const values = reports.map((report) => report[column]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const min = Math.min(...values);
  const max = Math.max(...values);
  return `${format(mean)} (${format(min)} to ${format(max)})`;
}

function format(value: number): string {
  const digits = value >= 100 ? 0 : value >= 10 ? 1 : 3;
  return value.toFixed(digits);
}
