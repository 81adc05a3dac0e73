/**
 * Parts of a gateway in which the soak plants faults on purpose.
 *
 * @module
 */
export { FleetState } from "./fleet_state.ts";
export { ReplicaCall } from "./replica_call.ts";
