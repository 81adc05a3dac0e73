#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { AgentCommand } from "./agent_command.ts";
import { GatewayCommand } from "./gateway_command.ts";
import { EntryCommand } from "./entry_command.ts";

const cli = new Cli({
  binaryLabel: "banyanspoold",
  binaryName: "banyanspoold",
  binaryVersion: "0.1.0",
});
cli.register(EntryCommand);
cli.register(AgentCommand);
cli.register(GatewayCommand);
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
await cli.runExit(process.argv.slice(2));
// Pending timers that only drop old records must not delay the exit.
process.exit();
