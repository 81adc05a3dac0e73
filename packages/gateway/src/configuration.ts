/**
 * How a gateway learns of changes of the configuration, for simulations.
 *
 * @module
 */
export {
  ConfigurationFreshness,
  type ConfigurationFreshnessOptions,
  type ConfigurationReport,
} from "./configuration_freshness.ts";
export {
  type ConfigurationOrigin,
  type ConfigurationStore,
  type ConfigurationWatchOptions,
  watchConfiguration,
} from "./configuration_watch.ts";
export {
  type ActiveConfiguration,
  type ConfigurationSource,
  FleetState,
  type FleetStateOptions,
} from "./fleet_state.ts";
export { reportIntervalMs } from "./peer_exchange.ts";
