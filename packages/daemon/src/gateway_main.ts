#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { GatewayCommand } from "./gateway_command.ts";

// On the users' platform only gateways run. This entry point doesn't load the
// other daemons, and so starts faster.
const cli = new Cli({
  binaryLabel: "banyanspoold",
  binaryName: "banyanspoold",
  binaryVersion: "0.1.0",
});
cli.register(GatewayCommand);
cli.register(Builtins.HelpCommand);
cli.runExit(process.argv.slice(2)).then(() => process.exit());
