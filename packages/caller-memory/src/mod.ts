/**
 * Budget of the memory that a process holds for its callers.
 *
 * @module
 */
export { CallerMemory, type CallerMemoryOptions } from "./caller_memory.ts";
export type { Holding, HoldingOptions } from "./open_holding.ts";
