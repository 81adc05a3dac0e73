import { Command, type Usage } from "clipanion";
import { readDocumentVersion } from "@banyanspool/config";
import { waitUntilActive } from "../accept_and_wait.ts";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { describeRollout } from "../describe_acceptance.ts";

/** Says where the newest version is in force. */
export class ConfigStatusCommand extends ClientCommand {
  static override paths: string[][] = [["config", "status"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Say where the newest version is in force",
    examples: [["Ask", "$0 config status"]],
  });

  async run(client: Client): Promise<number> {
    const head = await readDocumentVersion(client.platform.table);
    if (!head.ok) return this.printStoreError(head.error);
    const report = await waitUntilActive(client, head.value, {
      timeoutMs: 0,
      onProgress: () => {},
    });
    this.printText(`version ${head.value}: ${describeRollout(report)}`);
    this.printJson({ version: head.value, ...report });
    const isEverywhere = report.behind.length + report.silent.length === 0;
    return isEverywhere ? EXIT_CODES.success : EXIT_CODES.notActive;
  }
}
