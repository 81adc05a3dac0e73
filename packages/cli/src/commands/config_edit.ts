import { Command, Option, type Usage } from "clipanion";
import { readDocument } from "@banyanspool/config";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { isSectionName, writeSectionFile } from "../section_file.ts";

/** Writes a section to a file for editing. */
export class ConfigEditCommand extends ClientCommand {
  static override paths: string[][] = [["config", "edit"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Write a section to a file, to be edited and accepted",
    examples: [["Edit the limits", "$0 config edit limits limits.toml"]],
  });
  section: string = Option.String();
  file: string = Option.String();

  async run(client: Client): Promise<number> {
    if (!isSectionName(this.section)) {
      this.fail(`Section "${this.section}" does not exist`);
      return EXIT_CODES.badUsage;
    }
    const stored = await readDocument(client.platform.table);
    if (!stored.ok) return this.failStore(stored.error);
    const { texts, sectionVersions } = stored.value;
    const { section } = this;
    const baseVersion = sectionVersions[section];
    const text = texts[section];
    writeSectionFile(this.file, { section, baseVersion, text });
    this.say(`section "${section}", version ${baseVersion}: ${this.file}`);
    this.print({ section, baseVersion, file: this.file });
    return EXIT_CODES.done;
  }
}
