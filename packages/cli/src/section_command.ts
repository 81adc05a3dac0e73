import { Option } from "clipanion";
import {
  readDocument,
  type SectionName,
  type StoredDocument,
} from "@banyanspool/config";
import type { Client } from "./client.ts";
import { ClientCommand, EXIT_CODES } from "./client_command.ts";
import { isSectionName } from "./section_file.ts";

/** A command on one section's file and the accepted document. */
export abstract class SectionCommand extends ClientCommand {
  /** Section. */
  section: string = Option.String();
  /** File. */
  file: string = Option.String();

  /** Does the work. Returns the exit code. */
  abstract runSection(
    section: SectionName,
    stored: StoredDocument,
  ): Promise<number> | number;

  /** Reads the accepted document and does the work. */
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
