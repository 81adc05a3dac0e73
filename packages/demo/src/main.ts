import { runDemo } from "./demo.ts";

const stay = process.argv.includes("--stay");
process.exitCode = await runDemo({
  keepRunning: stay,
  write: (line) => process.stdout.write(`${line}\n`),
});
