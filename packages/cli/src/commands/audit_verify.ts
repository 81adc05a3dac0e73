import { Command, type Usage } from "clipanion";
import { verifyChains } from "@banyanspool/audit";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";

/** Checks the hash chains of the decision log. */
export class AuditVerifyCommand extends ClientCommand {
  static override paths: string[][] = [["audit", "verify"]];
  static override usage: Usage = Command.Usage({
    category: "Audit",
    description: "Check that no batch of the decision log was changed",
    examples: [["Check", "$0 audit verify"]],
  });

  async run(client: Client): Promise<number> {
    const report = await verifyChains(client.platform.objects);
    if (!report.ok) return this.printStoreError(report.error);
    const { batches, records, dropped, faults } = report.value;
    for (const { object, message } of faults) {
      this.printError(`${object}: ${message}`);
    }
    this.printText(
      `${batches} batches with ${records} records, ${dropped} lost, ${faults.length} faults`,
    );
    this.printJson(report.value);
    return faults.length === 0 ? EXIT_CODES.success : EXIT_CODES.failed;
  }
}
