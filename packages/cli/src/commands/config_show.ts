import { Command, Option, type Usage } from "clipanion";
import { readDocument, SECTION_NAMES } from "@banyanspool/config";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { isSectionName } from "../section_file.ts";

/** Prints the accepted document or one section. */
export class ConfigShowCommand extends ClientCommand {
  static override paths: string[][] = [["config", "show"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Print the accepted document or one section",
    examples: [["Print the limits", "$0 config show limits"]],
  });
  section: string | undefined = Option.String({ required: false });

  async run(client: Client): Promise<number> {
    if (this.section !== undefined && !isSectionName(this.section)) {
      this.printError(`Section "${this.section}" does not exist`);
      return EXIT_CODES.badUsage;
    }
    const stored = await readDocument(client.platform.table);
    if (!stored.ok) return this.printStoreError(stored.error);
    const { version, texts, sectionVersions } = stored.value;
    const names = this.section ? [this.section] : SECTION_NAMES;
    for (const name of names) {
      this.printText(`# section "${name}", version ${sectionVersions[name]}`);
      this.printText(texts[name].trimEnd());
    }
    this.printJson({ version, texts, sectionVersions });
    return EXIT_CODES.success;
  }
}
