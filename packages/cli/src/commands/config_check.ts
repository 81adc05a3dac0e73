import { Command, type Usage } from "clipanion";
import {
  describeFault,
  parseDocument,
  type SectionName,
  type StoredDocument,
} from "@banyanspool/config";
import { EXIT_CODES } from "../client_command.ts";
import { SectionCommand } from "../section_command.ts";
import { readSectionFile } from "../section_file.ts";

/** Checks a section's file together with the other accepted sections. */
export class ConfigCheckCommand extends SectionCommand {
  static override paths: string[][] = [["config", "check"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Check a section's file against the accepted other sections",
    examples: [["Check", "$0 config check limits limits.toml"]],
  });

  runSection(section: SectionName, stored: StoredDocument): number {
    const { text } = readSectionFile(this.file);
    const checked = parseDocument({ ...stored.texts, [section]: text });
    if (checked.ok) {
      this.printText(`section "${section}" has no faults`);
      this.printJson({ faults: [] });
      return EXIT_CODES.success;
    }
    for (const fault of checked.error) this.printError(describeFault(fault));
    this.printJson({ faults: checked.error });
    return EXIT_CODES.failed;
  }
}
