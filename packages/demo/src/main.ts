import { runDemo } from "./demo.ts";

const keepRunning = process.argv.includes("--stay");
process.exitCode = await runDemo({
  keepRunning,
  write: (line) => process.stdout.write(`${line}\n`),
});
