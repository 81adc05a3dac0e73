/**
 * Logs with a fixed prefix for each part.
 *
 * @module
 */
import createDebug from "debug";

/** Writes one short sentence. */
export type Log = (sentence: string) => void;

/** Creates the log of a part, such as `entry:limits`. */
export function createLog(part: string): Log {
  const debug = createDebug(`banyanspool:${part}`);
  return (sentence) => debug("%s", sentence);
}

/** Enables the logs that match a pattern, such as `banyanspool:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}
export { createEventLog } from "./event_log.ts";
export type { EventFields, EventLog, EventLogOptions } from "./event_log.ts";
