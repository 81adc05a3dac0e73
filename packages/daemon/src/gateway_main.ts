#!/usr/bin/env node
import { Builtins, Cli } from "clipanion";
import { GatewayCommand } from "./gateway_command.ts";

// The program of the users' platform, where only gateways run: without the
// other daemons it starts faster.
const cli = new Cli({
  binaryLabel: "banyanspoold",
  binaryName: "banyanspoold",
  binaryVersion: "0.1.0",
});
cli.register(GatewayCommand);
cli.register(Builtins.HelpCommand);
cli.runExit(process.argv.slice(2)).then(() => process.exit());
