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
    const verification = await verifyChains(client.platform.objects);
    if (!verification.ok) return this.printStoreError(verification.error);
    const { batches, records, dropped, faults } = verification.value;
    for (const { object, message } of faults) {
      this.printError(`${object}: ${message}`);
    }
    this.printText(
      `${batches} batches with ${records} records, ${dropped} dropped, ${faults.length} faults`,
    );
    this.printJson(verification.value);
    return faults.length === 0 ? EXIT_CODES.success : EXIT_CODES.failed;
  }
}
