import { Builtins, Cli } from "clipanion";
import { CompareCommand } from "./commands/compare.ts";
import { ConfigurationCommand } from "./commands/configuration.ts";
import { RelayCommand } from "./commands/relay.ts";
import { ReplaySiteCommand } from "./commands/replay_site.ts";
import { SlopesCommand } from "./commands/slopes.ts";
import { TracesCommand } from "./commands/traces.ts";
import { UnevenCommand } from "./commands/uneven.ts";

const cli = new Cli({
  binaryLabel: "banyanspool bench",
  binaryName: "npm run bench --",
  binaryVersion: "0.1.0",
});
for (
  const command of [
    CompareCommand,
    ConfigurationCommand,
    RelayCommand,
    ReplaySiteCommand,
    SlopesCommand,
    TracesCommand,
    UnevenCommand,
    Builtins.HelpCommand,
  ]
) cli.register(command);
await cli.runExit(process.argv.slice(2));
process.exit();
