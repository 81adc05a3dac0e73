import { Command, Option, type Usage } from "clipanion";
import {
  describeFault,
  parseDocument,
  readDocument,
} from "@banyanspool/config";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { isSectionName, readSectionFile } from "../section_file.ts";

/** Checks a section against the accepted rest of the document. */
export class ConfigCheckCommand extends ClientCommand {
  static override paths: string[][] = [["config", "check"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Check a section's file against the accepted other sections",
    examples: [["Check", "$0 config check limits limits.toml"]],
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
    const { text } = readSectionFile(this.file);
    const texts = { ...stored.value.texts, [this.section]: text };
    const checked = parseDocument(texts);
    if (checked.ok) {
      this.say(`section "${this.section}" has no faults`);
      this.print({ faults: [] });
      return EXIT_CODES.done;
    }
    for (const fault of checked.error) this.fail(describeFault(fault));
    this.print({ faults: checked.error });
    return EXIT_CODES.refused;
  }
}
