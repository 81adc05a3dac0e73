import { Command, Option } from "clipanion";
import { describeStoreError, type StoreError } from "@banyanspool/platform";
import { readClientSettings, SettingsError } from "@banyanspool/settings";
import { type Client, createClient } from "./client.ts";

const DEFAULT_SETTINGS = "/etc/banyanspool/client.toml";

/** Exit codes of all commands. */
export const EXIT_CODES = {
  success: 0,
  failed: 1,
  badUsage: 2,
  storeUnavailable: 3,
  notActive: 4,
} as const;

/** Base of the commands that access a deployment. */
export abstract class ClientCommand extends Command {
  /** Path of the settings file. */
  settings: string = Option.String(
    "--settings",
    process.env.BANYANSPOOL_SETTINGS ?? DEFAULT_SETTINGS,
    { description: "TOML file with the client's settings" },
  );
  /** Whether to print JSON. */
  json: boolean = Option.Boolean("--json", false, {
    description: "Print JSON instead of text",
  });

  /** Runs the command. Returns the exit code. */
  abstract run(client: Client): Promise<number>;

  /** Runs the command; errors in settings and files give `badUsage`. */
  async execute(): Promise<number> {
    let client: Client;
    try {
      client = createClient(readClientSettings(this.settings));
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error;
      this.printError(error.message);
      return EXIT_CODES.badUsage;
    }
    try {
      return await this.run(client);
    } catch (error) {
      const { code, path } = error as NodeJS.ErrnoException;
      if (code === undefined || path === undefined) throw error;
      this.printError(`Cannot use file "${path}": ${code}`);
      return EXIT_CODES.badUsage;
    }
  }

  /** Prints a line of text, unless JSON output was requested. */
  protected printText(line: string): void {
    if (!this.json) this.context.stdout.write(`${line}\n`);
  }

  /** Prints a value as JSON, if JSON output was requested. */
  protected printJson(value: unknown): void {
    if (!this.json) return;
    this.context.stdout.write(`${JSON.stringify(value, null, 2)}\n`);
  }

  /** Prints an error message. */
  protected printError(line: string): void {
    this.context.stderr.write(`${line}\n`);
  }

  /** Prints a store error. Returns the exit code. */
  protected printStoreError(error: StoreError): number {
    this.printError(describeStoreError(error));
    return EXIT_CODES.storeUnavailable;
  }
}
