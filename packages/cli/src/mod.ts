/**
 * The program banyanspool.
 *
 * @module
 */
export { createClient } from "./client.ts";
export type { Client, DaemonAnswer } from "./client.ts";
