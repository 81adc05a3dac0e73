import { Command, type Usage } from "clipanion";
import type { Client, DaemonStatus } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { formatTable } from "../format_table.ts";

/** Shows daemons, replicas' memory and shares of the rate limits. */
export class StatusCommand extends ClientCommand {
  static override paths: string[][] = [["status"]];
  static override usage: Usage = Command.Usage({
    description: "Show daemons, replicas' memory and shares of the rate limits",
    examples: [["Show", "$0 status"]],
  });

  async run(client: Client): Promise<number> {
    const daemons = await client.fetchStatuses();
    if (daemons.length === 0) {
      this.printError(
        "The platform lists no instance, or its list can't be read",
      );
      return EXIT_CODES.storeUnavailable;
    }
    this.printText(formatDaemons(daemons));
    this.printText("");
    this.printText(formatReplicas(daemons));
    this.printText("");
    this.printText(formatShares(daemons));
    this.printJson(daemons.map(toJson));
    return EXIT_CODES.success;
  }
}

function formatDaemons(daemons: readonly DaemonStatus[]): string {
  const header = [
    "INSTANCE",
    "ROLE",
    "DATA CENTRE",
    "CONFIG",
    "CONFIRMED",
    "STATE",
    "RUNNING",
    "DUTIES",
  ];
  const rows = daemons.map(({ row, status }) => {
    const identity = [row.instance, row.role, row.dataCentre];
    if (!status) return [...identity, "-", "-", "no response", "-", ""];
    return [
      ...identity,
      String(status.configVersion),
      status.confirmedAgeMs < 0n ? "never" : `${status.confirmedAgeMs} ms ago`,
      status.daemon?.leaving ? "leaving" : status.freshness,
      String(status.runningRequests),
      status.duties.join(", "),
    ];
  });
  return formatTable(header, rows);
}

function formatReplicas(daemons: readonly DaemonStatus[]): string {
  const header = ["REPLICA", "WEIGHTS", "KV", "MEMORY", "QUEUED", "MODELS"];
  const rows: string[][] = [];
  for (const { row, status } of daemons) {
    if (row.role !== "agent") continue;
    for (const report of status?.replicas ?? []) {
      const ledger = status?.ledgers.find((l) => l.replica === report.replica);
      rows.push([
        report.replica,
        `${ledger?.weightsMib ?? 0} MiB`,
        `${ledger?.kvMib ?? 0} MiB`,
        `${ledger?.memoryMib ?? 0} MiB`,
        String(report.queuedTokens),
        report.readyModels.join(", "),
      ]);
    }
  }
  return formatTable(header, rows);
}

function formatShares(daemons: readonly DaemonStatus[]): string {
  const header = ["ENTRY", "ORGANISATION", "LEVEL", "CAPACITY", "HELD", "LENT"];
  const rows: string[][] = [];
  for (const { row, status } of daemons) {
    for (const share of status?.shares ?? []) {
      rows.push([
        row.instance,
        share.organisation,
        String(share.levelTokens),
        String(share.capacityTokens),
        String(share.heldTokens),
        String(share.lentTokens),
      ]);
    }
  }
  return formatTable(header, rows);
}

function toJson({ row, status }: DaemonStatus): unknown {
  if (!status) return { ...row, answered: false };
  return {
    ...row,
    answered: true,
    config_version: Number(status.configVersion),
    confirmed_age_ms: Number(status.confirmedAgeMs),
    freshness: status.freshness,
    running_requests: status.runningRequests,
    duties: status.duties,
    ledgers: status.ledgers.map(({ $typeName: _, ...ledger }) => ledger),
    shares: status.shares.map(({ $typeName: _, ...share }) => share),
    replicas: status.replicas.map((report) => ({
      replica: report.replica,
      ready_models: report.readyModels,
      ready_adapters: report.readyAdapters,
      queued_tokens: report.queuedTokens,
      running: report.running,
    })),
  };
}
