/**
 * Command-line program for the operators of a banyanspool deployment.
 *
 * @module
 */
export { createClient } from "./client.ts";
export type { Client, DaemonStatus } from "./client.ts";
