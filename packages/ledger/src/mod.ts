/**
 * Accounting of accelerator memory that is or may be in use.
 *
 * @module
 */
export { MemoryLedger } from "./memory_ledger.ts";
export type {
  Inventory,
  InventoryItem,
  InventorySequence,
  LedgerState,
  MemoryLedgerOptions,
} from "./memory_ledger.ts";
export { PinRegistry } from "./pin_registry.ts";
export type { PinAnswer } from "./pin_registry.ts";
