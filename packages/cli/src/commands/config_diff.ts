import { Command, Option, type Usage } from "clipanion";
import { readDocument } from "@banyanspool/config";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { formatDiff } from "../report_acceptance.ts";
import { isSectionName, readSectionFile } from "../section_file.ts";

/** Compares a section's file with what is accepted. */
export class ConfigDiffCommand extends ClientCommand {
  static override paths: string[][] = [["config", "diff"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Compare a section's file with the accepted section",
    examples: [["Compare", "$0 config diff limits limits.toml"]],
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
    const before = stored.value.texts[this.section];
    const { text, baseVersion } = readSectionFile(this.file);
    const current = stored.value.sectionVersions[this.section];
    if (baseVersion !== undefined && baseVersion !== current) {
      this.say(
        `your file is of version ${baseVersion}, accepted is ${current}`,
      );
    }
    this.say(formatDiff(before, text));
    this.print({ before, after: text, baseVersion, current });
    return EXIT_CODES.done;
  }
}
