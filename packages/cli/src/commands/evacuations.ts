import { Command, Option, type Usage } from "clipanion";
import { EXIT_CODES } from "../client_command.ts";
import {
  type BoundedList,
  type EvacuationReport,
  fetchEvacuationReport,
} from "../evacuation_report.ts";
import { formatTable } from "../format_table.ts";

const MS_PER_S = 1000;

/** Shows evacuations and cold replicas, as one gateway knows them. */
export class EvacuationsCommand extends Command {
  static override paths: string[][] = [["evacuations"]];
  static override usage: Usage = Command.Usage({
    description: "Show evacuated data centres and cold replicas",
    details:
      "Asks one gateway at its metrics address. Any gateway will do: each " +
      "tells which others know of an evacuation. Needs no settings file.",
    examples: [["Ask a gateway", "$0 evacuations 10.0.0.4:9102"]],
  });
  address: string = Option.String({ name: "address" });
  json: boolean = Option.Boolean("--json", false, {
    description: "Print JSON instead of text",
  });

  async execute(): Promise<number> {
    const { stdout, stderr } = this.context;
    const fetched = await fetchEvacuationReport(this.address);
    if (!fetched.ok) {
      stderr.write(`${fetched.error.message}\n`);
      return fetched.error.isUsage ? EXIT_CODES.badUsage : EXIT_CODES.failed;
    }
    const report = fetched.value;
    stdout.write(
      this.json ? `${JSON.stringify(report, null, 2)}\n` : format(report),
    );
    return EXIT_CODES.success;
  }
}

function format(report: EvacuationReport): string {
  return [
    `As ${report.gateway} knows it`,
    "",
    formatEvacuations(report),
    "",
    formatColdReplicas(report),
    "",
  ].join("\n");
}

function formatEvacuations({ evacuations }: EvacuationReport): string {
  if (evacuations.total === 0) return "No data centre is evacuated";
  const header = [
    "EVACUATED",
    "KNOWN FOR",
    "REPLICAS",
    "KNOWN BY",
    "NOT REPORTED BY",
    "REFUSED HERE",
    "MODELS ONLY THERE",
  ];
  const rows = evacuations.first.map((evacuation) => [
    evacuation.data_centre,
    formatSeconds(evacuation.known_for_ms),
    String(evacuation.replicas),
    `${evacuation.known_by.total} gateways`,
    formatNames(evacuation.not_reported_by),
    String(evacuation.refused),
    formatNames(evacuation.models_only_there),
  ]);
  return formatTable(header, rows) + formatRest(evacuations);
}

function formatColdReplicas({ cold_replicas }: EvacuationReport): string {
  if (cold_replicas.total === 0) return "No replica is cold";
  const header = [
    "COLD REPLICA",
    "SERVICE",
    "DATA CENTRE",
    "LEFT",
    "LIMIT",
    "ISSUED",
    "ISSUER",
    "IN FLIGHT",
  ];
  const rows = cold_replicas.first.map((cold) => [
    cold.replica,
    cold.service,
    cold.data_centre,
    formatSeconds(cold.left_ms),
    `${Number(cold.limit_per_s.toFixed(1))}/s`,
    cold.issued_last_s === undefined ? "-" : `${cold.issued_last_s}/s`,
    cold.issuer ?? "-",
    String(cold.in_flight),
  ]);
  return formatTable(header, rows) + formatRest(cold_replicas);
}

function formatSeconds(ms: number): string {
  return `${(ms / MS_PER_S).toFixed(1)} s`;
}

function formatNames(list: BoundedList<string>): string {
  if (list.total === 0) return "-";
  const rest = list.total - list.first.length;
  return list.first.join(", ") + (rest > 0 ? ` and ${rest} more` : "");
}

function formatRest({ total, first }: BoundedList<unknown>): string {
  return total > first.length ? `\nand ${total - first.length} more` : "";
}
