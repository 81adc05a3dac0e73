/**
 * Debug logs with a prefix for each component, and a structured event log.
 *
 * @module
 */
import createDebug from "debug";

/** Writes one debug line. */
export type Log = (message: string) => void;

/** Creates the debug log of a component, such as `entry:limits`. */
export function createLog(component: string): Log {
  const debug = createDebug(`banyanspool:${component}`);
  return (message) => debug("%s", message);
}

/** Enables the debug logs that match a pattern, such as `banyanspool:*`. */
export function enableLogs(pattern: string): void {
  createDebug.enable(pattern);
}
export { createEventLog } from "./event_log.ts";
export type { EventFields, EventLog, EventLogOptions } from "./event_log.ts";
