import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { BaseContext } from "clipanion";

/**
 * Reads all lines of log files, `-` being standard input. Returns undefined
 * after a message if a file can't be read.
 */
export async function readLogLines(
  files: readonly string[],
  { stdin, stderr }: BaseContext,
): Promise<string[] | undefined> {
  const lines: string[] = [];
  for (const file of files) {
    const input = file === "-" ? stdin : createReadStream(file);
    try {
      const reader = createInterface({ input, crlfDelay: Infinity });
      for await (const line of reader) lines.push(line);
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      stderr.write(`Cannot read log "${file}": ${code}\n`);
      return undefined;
    }
  }
  return lines;
}
