import { Option } from "clipanion";
import {
  readDocument,
  type SectionName,
  type StoredDocument,
} from "@banyanspool/config";
import type { Client } from "./client.ts";
import { ClientCommand, EXIT_CODES } from "./client_command.ts";
import { isSectionName } from "./section_file.ts";

/** Base of the commands that take a section and its file. */
export abstract class SectionCommand extends ClientCommand {
  /** Name of the section. */
  section: string = Option.String();
  /** Path of the file with the section's text. */
  file: string = Option.String();

  /** Runs the command on the accepted document. Returns the exit code. */
  abstract runSection(
    section: SectionName,
    stored: StoredDocument,
  ): Promise<number> | number;

  /** Reads the accepted document and runs the command on it. */
  async run(client: Client): Promise<number> {
    if (!isSectionName(this.section)) {
      this.printError(`Section "${this.section}" does not exist`);
      return EXIT_CODES.badUsage;
    }
    const stored = await readDocument(client.platform.table);
    if (!stored.ok) return this.printStoreError(stored.error);
    return await this.runSection(this.section, stored.value);
  }
}
