import { Command, type Usage } from "clipanion";
import { recordTraces } from "../trace_files.ts";

/** Regenerates the recorded traces. */
export class TracesCommand extends Command {
  static override paths: string[][] = [["traces"]];
  static override usage: Usage = Command.Usage({
    description: "Regenerate the recorded traces from their seed",
    examples: [["Write", "$0 traces"]],
  });

  execute(): Promise<number> {
    for (const file of recordTraces()) {
      this.context.stdout.write(`${file}\n`);
    }
    return Promise.resolve(0);
  }
}
