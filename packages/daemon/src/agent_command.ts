import { Command, Option, type Usage } from "clipanion";
import { Agent } from "@banyanspool/agent";
import { readAgentSettings } from "@banyanspool/settings";
import { runUntilStopped } from "./run_until_stopped.ts";

/** Runs an agent until SIGTERM or SIGINT. */
export class AgentCommand extends Command {
  /** Words that select the command. */
  static override paths: string[][] = [["agent"]];
  /** Help text. */
  static override usage: Usage = Command.Usage({
    description: "Run an agent beside one backend server",
    examples: [["Start", "$0 agent --settings /etc/banyanspool/agent.toml"]],
  });
  /** Path of the settings file. */
  settings: string = Option.String("--settings", {
    required: true,
    description: "TOML file with the settings of the process",
  });

  /** Runs the command. Returns the exit code. */
  async execute(): Promise<number> {
    return await runUntilStopped({
      read: () => readAgentSettings(this.settings),
      build: (cfg) => Agent.create({ cfg }),
      context: this.context,
    });
  }
}
