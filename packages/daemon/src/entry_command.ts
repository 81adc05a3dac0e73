import { Command, Option, type Usage } from "clipanion";
import { Entry } from "@banyanspool/entry";
import { readEntrySettings } from "@banyanspool/settings";
import { runUntilStopped } from "./run_until_stopped.ts";

/** Runs an entry until SIGTERM or SIGINT. */
export class EntryCommand extends Command {
  /** Words that select the command. */
  static override paths: string[][] = [["entry"]];
  /** Help text. */
  static override usage: Usage = Command.Usage({
    description: "Run an entry, which callers connect to",
    examples: [["Start", "$0 entry --settings /etc/banyanspool/entry.toml"]],
  });
  /** Path of the settings file. */
  settings: string = Option.String("--settings", {
    required: true,
    description: "TOML file with the settings of the process",
  });

  /** Runs the command. Returns the exit code. */
  async execute(): Promise<number> {
    return await runUntilStopped({
      read: () => readEntrySettings(this.settings),
      build: (cfg) => Entry.create({ cfg }),
      context: this.context,
    });
  }
}
