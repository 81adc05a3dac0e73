import { Command, Option, type Usage } from "clipanion";
import { type Decision, readDecisions } from "@banyanspool/audit";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { parseTimeOption } from "../parse_options.ts";

/** Shows records of the decision log. */
export class AuditCommand extends ClientCommand {
  static override paths: string[][] = [["audit"]];
  static override usage: Usage = Command.Usage({
    category: "Audit",
    description: "Show decisions about a request or an organisation",
    examples: [
      ["Show the decisions about a request", "$0 audit --request 6f1c"],
      [
        "Show the decisions about an organisation since a time",
        "$0 audit --organisation dongbu --since 2027-01-05T08:00:00Z",
      ],
    ],
  });
  request: string | undefined = Option.String("--request", {
    description: "Request id",
  });
  organisation: string | undefined = Option.String("--organisation", {
    description: "Organisation",
  });
  kind: string | undefined = Option.String("--kind", {
    description: "Kind of decision, such as refused or placement",
  });
  since: string | undefined = Option.String("--since", {
    description: "Earliest time, in ISO 8601",
  });
  until: string | undefined = Option.String("--until", {
    description: "Latest time, in ISO 8601",
  });

  async run(client: Client): Promise<number> {
    const since = parseTimeOption(this.since);
    const until = parseTimeOption(this.until);
    for (const parsed of [since, until]) {
      if (parsed.ok) continue;
      this.printError(parsed.error);
      return EXIT_CODES.badUsage;
    }
    const found = await readDecisions(client.platform.objects, {
      request: this.request,
      organisation: this.organisation,
      kind: this.kind,
      since: since.ok ? since.value : undefined,
      until: until.ok ? until.value : undefined,
    });
    if (!found.ok) return this.printStoreError(found.error);
    for (const decision of found.value.decisions) {
      this.printText(formatDecision(decision));
    }
    const { decisions, dropped } = found.value;
    this.printText(
      `${decisions.length} decisions; ${dropped} dropped over the whole log`,
    );
    this.printJson(found.value);
    return EXIT_CODES.success;
  }
}

function formatDecision(decision: Decision): string {
  const ran = decision.ran === undefined ? "" : `, ran: ${decision.ran}`;
  const caller = decision.organisation === undefined
    ? ""
    : ` for ${decision.organisation} (key ${decision.keyId ?? "none"})`;
  return [
    `${new Date(decision.at).toISOString()} ${decision.kind}${caller}:`,
    `${decision.subject}: ${decision.reason}${ran};`,
    `${decision.detail}; configuration ${decision.configVersion};`,
    `request ${decision.request ?? "none"}; record ${decision.id}`,
  ].join(" ");
}
