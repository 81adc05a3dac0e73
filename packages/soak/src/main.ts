import { Builtins, Cli } from "clipanion";
import { SoakCommand } from "./commands/soak.ts";

const cli = new Cli({
  binaryLabel: "banyanspool soak",
  binaryName: "npm run soak --",
  binaryVersion: "0.1.0",
});
cli.register(SoakCommand);
cli.register(Builtins.HelpCommand);
process.exit(await cli.run(process.argv.slice(2)));
