/**
 * Parts of a gateway into which the soak test injects faults.
 *
 * @module
 */
export { ConfigurationFreshness } from "./configuration_freshness.ts";
export { FleetState } from "./fleet_state.ts";
export { ReplicaCall } from "./replica_call.ts";
export { ReplicaRegistry } from "./replica_registry.ts";
