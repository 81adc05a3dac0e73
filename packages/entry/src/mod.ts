/**
 * Entry daemon: callers' connections, admission, routing and relay.
 *
 * @module
 */
export { Entry } from "./entry.ts";
export type { EntryOptions } from "./entry.ts";
