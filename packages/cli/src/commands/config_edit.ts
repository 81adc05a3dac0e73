import { Command, type Usage } from "clipanion";
import type { SectionName, StoredDocument } from "@banyanspool/config";
import { EXIT_CODES } from "../client_command.ts";
import { SectionCommand } from "../section_command.ts";
import { writeSectionFile } from "../section_file.ts";

/** Writes a section to a file for editing. */
export class ConfigEditCommand extends SectionCommand {
  static override paths: string[][] = [["config", "edit"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Write a section to a file, to be edited and accepted",
    examples: [["Edit the limits", "$0 config edit limits limits.toml"]],
  });

  runSection(section: SectionName, stored: StoredDocument): number {
    const baseVersion = stored.sectionVersions[section];
    const text = stored.texts[section];
    writeSectionFile(this.file, { section, baseVersion, text });
    this.printText(
      `section "${section}", version ${baseVersion}: ${this.file}`,
    );
    this.printJson({ section, baseVersion, file: this.file });
    return EXIT_CODES.success;
  }
}
