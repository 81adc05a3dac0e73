import { Command, Option, type Usage } from "clipanion";
import { Gateway } from "@banyanspool/gateway";
import { readGatewaySettings } from "@banyanspool/settings";
import { runUntilStopped } from "./run_until_stopped.ts";

/** Runs a gateway until SIGTERM or SIGINT. */
export class GatewayCommand extends Command {
  /** Words that select the command. */
  static override paths: string[][] = [["gateway"]];
  /** Help text. */
  static override usage: Usage = Command.Usage({
    description: "Run a gateway, which routes straight to the replicas",
    examples: [[
      "Start",
      "$0 gateway --settings /etc/banyanspool/gateway.toml",
    ]],
  });
  /** Path of the settings file. */
  settings: string = Option.String("--settings", {
    required: true,
    description: "TOML file with the settings of the process",
  });

  /** Runs the command. Returns the exit code. */
  async execute(): Promise<number> {
    return await runUntilStopped({
      read: () => readGatewaySettings(this.settings),
      build: (cfg) => Gateway.create({ cfg }),
      context: this.context,
    });
  }
}
