import { Command, type Usage } from "clipanion";
import { recordTraces } from "../trace_files.ts";

/** Writes the recorded traces again. */
export class TracesCommand extends Command {
  static override paths: string[][] = [["traces"]];
  static override usage: Usage = Command.Usage({
    description: "Write the recorded traces again from their seed",
    examples: [["Write", "$0 traces"]],
  });

  execute(): Promise<number> {
    for (const file of recordTraces()) {
      this.context.stdout.write(`${file}\n`);
    }
    return Promise.resolve(0);
  }
}
