/**
 * The program banyanspool.
 *
 * @module
 */
export { createClient } from "./client.ts";
export type { Client, DaemonStatus } from "./client.ts";
