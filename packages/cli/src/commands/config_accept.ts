import { Command, Option, type Usage } from "clipanion";
import { applyChange } from "../apply_change.ts";
import type { Client } from "../client.ts";
import { ClientCommand, EXIT_CODES } from "../client_command.ts";
import { isSectionName, readSectionFile } from "../section_file.ts";

/** Accepts an edited section and waits until it is active. */
export class ConfigAcceptCommand extends ClientCommand {
  static override paths: string[][] = [["config", "accept"]];
  static override usage: Usage = Command.Usage({
    category: "Configuration",
    description: "Accept an edited section and wait until it is active",
    details: `
      The file's first line, written by \`config edit\`, names the version that
      was edited. If the section has changed since, nothing is accepted and the
      change is shown.
    `,
    examples: [["Accept the limits", "$0 config accept limits limits.toml"]],
  });
  section: string = Option.String();
  file: string = Option.String();
  base: string | undefined = Option.String("--base", {
    description: "Section version that was edited, if the file has none",
  });

  async run(client: Client): Promise<number> {
    if (!isSectionName(this.section)) {
      this.printError(`Section "${this.section}" does not exist`);
      return EXIT_CODES.badUsage;
    }
    const file = readSectionFile(this.file);
    if (file.section !== undefined && file.section !== this.section) {
      this.printError(`"${this.file}" contains section "${file.section}"`);
      return EXIT_CODES.badUsage;
    }
    const baseVersion = this.base === undefined
      ? file.baseVersion
      : Number(this.base);
    if (baseVersion === undefined || !Number.isInteger(baseVersion)) {
      this.printError(
        `Cannot determine which version "${this.file}" was made from; use "config edit" or --base`,
      );
      return EXIT_CODES.badUsage;
    }
    const change = { section: this.section, text: file.text, baseVersion };
    return await applyChange(client, change, {
      printText: (line) => this.printText(line),
      printJson: (value) => this.printJson(value),
      printError: (line) => this.printError(line),
    });
  }
}
