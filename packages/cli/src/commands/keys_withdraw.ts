import { Command, Option, type Usage } from "clipanion";
import { readDocument, removeKey } from "@banyanspool/config";
import { applyChange } from "../apply_change.ts";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";

/** Withdraws a key; requests that run with it are aborted. */
export class KeysWithdrawCommand extends ClientCommand {
  static override paths: string[][] = [["keys", "withdraw"]];
  static override usage: Usage = Command.Usage({
    category: "Keys",
    description: "Withdraw a key and abort the requests that run with it",
    examples: [["Withdraw", "$0 keys withdraw dongbu yard-tablets"]],
  });
  organisation: string = Option.String();
  keyId: string = Option.String();

  async run(client: Client): Promise<number> {
    const stored = await readDocument(client.platform.table);
    if (!stored.ok) return this.printStoreError(stored.error);
    const { texts, sectionVersions } = stored.value;
    const { organisation, keyId } = this;
    const text = removeKey(texts.organisations, organisation, keyId);
    if (text === undefined) {
      this.printError(`Organisation "${organisation}" has no key "${keyId}"`);
      return EXIT_CODES.failed;
    }
    const change = {
      section: "organisations" as const,
      text,
      baseVersion: sectionVersions.organisations,
    };
    return await applyChange(client, change, {
      printText: (line) => this.printText(line),
      printJson: (value) => this.printJson(value),
      printError: (line) => this.printError(line),
    });
  }
}
