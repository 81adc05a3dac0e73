import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { BaseContext } from "clipanion";
import { type EventLine, parseEventLine } from "@banyanspool/audit";

/** Structured lines of logs. */
export interface LogLines {
  /** Lines that can be read, in order of time. */
  readonly events: readonly EventLine[];
  /** Number of lines that can't be read. */
  readonly skipped: number;
}

/**
 * Reads the lines of log files, `-` being standard input. Returns undefined after
 * a message if a file can't be read or holds no structured line.
 */
export async function readLogLines(
  files: readonly string[],
  { stdin, stderr }: BaseContext,
): Promise<LogLines | undefined> {
  const events: EventLine[] = [];
  let skipped = 0;
  for (const file of files) {
    const input = file === "-" ? stdin : createReadStream(file);
    const before = { events: events.length, skipped };
    try {
      const reader = createInterface({ input, crlfDelay: Infinity });
      for await (const line of reader) {
        const event = parseEventLine(line);
        if (event) events.push(event);
        else skipped += 1;
      }
    } catch (error) {
      const { code } = error as NodeJS.ErrnoException;
      stderr.write(`Cannot read log "${file}": ${code}\n`);
      return undefined;
    }
    if (events.length > before.events) continue;
    const lines = skipped - before.skipped;
    stderr.write(`Cannot read log "${file}": none of ${lines} lines is JSON\n`);
    return undefined;
  }
  events.sort((a, b) => a.time - b.time);
  return { events, skipped };
}

/** Says how many lines were skipped; empty if none was. */
export function describeSkipped({ skipped }: LogLines): string {
  return skipped === 0 ? "" : `${skipped} lines skipped, as they aren't JSON\n`;
}
