import { Command, Option, type Usage } from "clipanion";
import { addKey, readDocument } from "@banyanspool/config";
import { createKey } from "@banyanspool/keys";
import { applyChange } from "../apply_change.ts";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";

/** Creates a key for an organisation and prints it. */
export class KeysGrantCommand extends ClientCommand {
  static override paths: string[][] = [["keys", "grant"]];
  static override usage: Usage = Command.Usage({
    category: "Keys",
    description: "Grant an organisation a new key and print it once",
    examples: [["Grant", "$0 keys grant dongbu yard-tablets"]],
  });
  organisation: string = Option.String();
  keyId: string = Option.String();

  async run(client: Client): Promise<number> {
    const stored = await readDocument(client.platform.table);
    if (!stored.ok) return this.printStoreError(stored.error);
    const { key, sha256 } = createKey();
    const entry = { id: this.keyId, sha256 };
    const { texts, sectionVersions } = stored.value;
    const text = addKey(texts.organisations, this.organisation, entry);
    if (text === undefined) {
      this.printError(`Organisation "${this.organisation}" does not exist`);
      return EXIT_CODES.failed;
    }
    const change = {
      section: "organisations" as const,
      text,
      baseVersion: sectionVersions.organisations,
    };
    const code = await applyChange(client, change, {
      printText: (line) => this.printText(line),
      printJson: (value) => this.printJson({ ...value as object, key }),
      printError: (line) => this.printError(line),
    });
    const isAccepted = code === EXIT_CODES.success ||
      code === EXIT_CODES.notActive;
    if (isAccepted) {
      this.printText(`key "${this.keyId}", shown only now: ${key}`);
    }
    return code;
  }
}
