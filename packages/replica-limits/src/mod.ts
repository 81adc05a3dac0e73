/**
 * Keeps the rate limits that replicas name in their responses, over all gateways
 * together.
 *
 * @module
 */
export { LimitTable } from "./limit_table.ts";
export type {
  LimitNotice,
  LimitObservation,
  LimitTableOptions,
} from "./limit_table.ts";
