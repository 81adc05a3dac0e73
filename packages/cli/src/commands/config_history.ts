import { Command, type Usage } from "clipanion";
import { readHistory } from "@banyanspool/config";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { formatTable } from "../format_table.ts";

/** Lists the accepted versions with their operator and time. */
export class ConfigHistoryCommand extends ClientCommand {
  static override paths: string[][] = [["config", "history"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "List the accepted versions",
    examples: [["List", "$0 config history"]],
  });

  async run(client: Client): Promise<number> {
    const history = await readHistory(client.platform.table);
    if (!history.ok) return this.printStoreError(history.error);
    const rows = history.value.map((entry) => [
      String(entry.version),
      entry.section,
      entry.operator,
      new Date(entry.at).toISOString(),
    ]);
    this.printText(
      formatTable(["VERSION", "SECTION", "OPERATOR", "ACCEPTED"], rows),
    );
    this.printJson(history.value);
    return EXIT_CODES.success;
  }
}
