/**
 * Keeps the rate limits that replicas name in their responses, over all gateways
 * together, and the pauses that they ask a gateway for.
 *
 * @module
 */
export { ColdReplicas } from "./cold_replicas.ts";
export type { ColdLimit, ColdReplicasOptions } from "./cold_replicas.ts";
export { LimitTable } from "./limit_table.ts";
export type {
  LimitNotice,
  LimitObservation,
  LimitTableOptions,
} from "./limit_table.ts";
export { PermitSchedule } from "./permit_schedule.ts";
export type {
  PermitClass,
  PermitRequester,
  PermitResult,
} from "./permit_schedule.ts";
export { ReplicaPauses } from "./replica_pauses.ts";
export type { ReplicaPausesOptions } from "./replica_pauses.ts";
export { ReplicaPermits } from "./replica_permits.ts";
export type {
  PermitAnswer,
  PermitMessage,
  PermitQuery,
  PermitState,
  ReplicaPermitsOptions,
} from "./replica_permits.ts";
