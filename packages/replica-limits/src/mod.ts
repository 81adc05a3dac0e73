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
export type { PermitClass, PermitResult } from "./permit_bucket.ts";
export { ReplicaPermits } from "./replica_permits.ts";
export type {
  PermitAnswer,
  PermitMessage,
  PermitQuery,
  PermitState,
  ReplicaPermitsOptions,
} from "./replica_permits.ts";
