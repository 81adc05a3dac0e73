import { writeFile } from "node:fs/promises";
import { attributeCauses, type CauseReport } from "@banyanspool/audit";
import { Command, Option, type Usage } from "clipanion";
import { EXIT_CODES } from "../client_command.ts";
import { formatTable } from "../format_table.ts";
import { describeSkipped, readLogLines } from "../read_log_lines.ts";

const MS_PER_S = 1000;
const RESULTS = ["late", "refused", "failed", "cut off"] as const;

/** Shows why requests in the logs of several gateways did not end in time. */
export class LogsCausesCommand extends Command {
  static override paths: string[][] = [["logs", "causes"]];
  static override usage: Usage = Command.Usage({
    category: "Audit",
    description: "Show why requests were late, refused, failed or cut off",
    details:
      "Attributes each request of the given logs that did not end in time to " +
      "one first cause, and counts them by route and cause. Needs no " +
      "connection to the deployment.",
    examples: [
      ["Over all gateways", "$0 logs causes gateways/*.log"],
      ["With a chart", "$0 logs causes --svg causes.svg gateways/*.log"],
    ],
  });
  files: string[] = Option.Rest({ name: "files", required: 1 });
  json: boolean = Option.Boolean("--json", false, {
    description: "Print JSON instead of text",
  });
  svg: string | undefined = Option.String("--svg", {
    description: "Write a chart of the causes over time to this file",
  });
  limitWindow: string = Option.String("--limit-window", "8", {
    description: "Window of the rate limits, in seconds",
  });

  async execute(): Promise<number> {
    const windowS = Number(this.limitWindow);
    if (!(windowS > 0)) {
      this.context.stderr.write(
        `Invalid limit window "${this.limitWindow}": give a number of seconds\n`,
      );
      return EXIT_CODES.badUsage;
    }
    const lines = await readLogLines(this.files, this.context);
    if (!lines) return EXIT_CODES.badUsage;
    this.context.stderr.write(describeSkipped(lines));
    const report = attributeCauses(lines.events, {
      limitWindowMs: windowS * MS_PER_S,
    });
    if (this.svg !== undefined) {
      const { plotCauses } = await import("../plot_causes.ts");
      await writeFile(this.svg, await plotCauses(report));
    }
    this.context.stdout.write(
      this.json ? `${JSON.stringify(report, null, 2)}\n` : formatReport(report),
    );
    return EXIT_CODES.success;
  }
}

function formatReport({ total, attributed }: CauseReport): string {
  const counts = new Map<string, Map<string, number>>();
  for (const { route, cause, result } of attributed) {
    const key = `${route}\n${cause}`;
    const row = counts.get(key) ?? new Map<string, number>();
    row.set(result, (row.get(result) ?? 0) + 1);
    counts.set(key, row);
  }
  const rows = [...counts]
    .map(([key, row]) => ({ key, row, sum: sumOf(row) }))
    .sort((a, b) => b.sum - a.sum)
    .map(({ key, row, sum }) => [
      ...key.split("\n"),
      ...RESULTS.map((result) => String(row.get(result) ?? 0)),
      String(sum),
    ]);
  const table = formatTable(["route", "cause", ...RESULTS, "all"], rows);
  return `${table}\n${attributed.length} of ${total} requests\n`;
}

function sumOf(counts: ReadonlyMap<string, number>): number {
  let sum = 0;
  for (const count of counts.values()) sum += count;
  return sum;
}
