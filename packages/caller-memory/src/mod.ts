/**
 * Budget of the memory that a process holds for its callers.
 *
 * @module
 */
export {
  CallerMemory,
  type CallerMemoryOptions,
  type Holding,
  type HoldingOptions,
} from "./caller_memory.ts";
