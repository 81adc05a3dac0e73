import { Command, Option, type Usage } from "clipanion";
import { type EventLine, followRequest } from "@banyanspool/audit";
import { EXIT_CODES } from "../client_command.ts";
import { formatTable } from "../format_table.ts";
import { describeSkipped, readLogLines } from "../read_log_lines.ts";

const MS_PER_S = 1000;

/** Shows one request's lines from the logs of several gateways. */
export class LogsFollowCommand extends Command {
  static override paths: string[][] = [["logs", "follow"]];
  static override usage: Usage = Command.Usage({
    category: "Audit",
    description: "Follow a request through the logs of several gateways",
    details:
      "Prints the request's own lines, marked with a star, and the state " +
      "changes around it that concern its replicas, model, limits or " +
      "store. Needs no connection to the deployment.",
    examples: [
      ["Through all gateways", "$0 logs follow 6f1c gateways/*.log"],
      ["From standard input", "journal | $0 logs follow 6f1c -"],
    ],
  });
  id: string = Option.String({ name: "id" });
  files: string[] = Option.Rest({ name: "files", required: 1 });
  json: boolean = Option.Boolean("--json", false, {
    description: "Print JSON instead of text",
  });

  async execute(): Promise<number> {
    const lines = await readLogLines(this.files, this.context);
    if (!lines) return EXIT_CODES.badUsage;
    this.context.stderr.write(describeSkipped(lines));
    const trail = followRequest(this.id, lines.events);
    if (this.json) {
      this.context.stdout.write(`${JSON.stringify(trail, null, 2)}\n`);
      return trail.own.length > 0 ? EXIT_CODES.success : EXIT_CODES.failed;
    }
    if (trail.own.length === 0) {
      this.context.stderr.write(
        `No line of ${lines.events.length} is about request "${this.id}"\n`,
      );
      return EXIT_CODES.failed;
    }
    const start = startTimeOf(trail.own[0]!);
    const rows = [...trail.around, ...trail.own]
      .sort((a, b) => a.time - b.time)
      .map((line) => formatLine(line, { start, id: this.id }));
    const table = formatTable(["", "second", "instance", "event", ""], rows);
    this.context.stdout.write(`${table}\n`);
    return EXIT_CODES.success;
  }
}

function startTimeOf({ time, fields }: EventLine): number {
  return time - (typeof fields.took_ms === "number" ? fields.took_ms : 0);
}

function formatLine(
  { time, instance, event, fields }: EventLine,
  { start, id }: { start: number; id: string },
): string[] {
  const { id: lineId, ...rest } = fields;
  const text = Object.entries(rest)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return [
    lineId === id ? "*" : "",
    ((time - start) / MS_PER_S).toFixed(3),
    instance,
    event,
    text.join(" "),
  ];
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
