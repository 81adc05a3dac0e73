import { Command, type Usage } from "clipanion";
import type { SectionName, StoredDocument } from "@banyanspool/config";
import { EXIT_CODES } from "../client_command.ts";
import { formatDiff } from "../describe_acceptance.ts";
import { SectionCommand } from "../section_command.ts";
import { readSectionFile } from "../section_file.ts";

/** Compares a section's file with the accepted section. */
export class ConfigDiffCommand extends SectionCommand {
  static override paths: string[][] = [["config", "diff"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Compare a section's file with the accepted section",
    examples: [["Compare", "$0 config diff limits limits.toml"]],
  });

  runSection(section: SectionName, stored: StoredDocument): number {
    const before = stored.texts[section];
    const { text, baseVersion } = readSectionFile(this.file);
    const current = stored.sectionVersions[section];
    if (baseVersion !== undefined && baseVersion !== current) {
      this.printText(
        `the file was made from version ${baseVersion}, the accepted one is ${current}`,
      );
    }
    this.printText(formatDiff(before, text));
    this.printJson({ before, after: text, baseVersion, current });
    return EXIT_CODES.success;
  }
}
