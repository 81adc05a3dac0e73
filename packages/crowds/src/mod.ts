/**
 * Crowds of clients that don't keep to the rules, and the processes that they are
 * sent to, for tests.
 *
 * @module
 */
export { type CrowdOptions, HostileCrowd } from "./hostile_crowd.ts";
export {
  type BodyOptions,
  type HeadOptions,
  requestHead,
  requestsAhead,
  shortFields,
  unendingBody,
} from "./hostile_bytes.ts";
export {
  GatewayProcess,
  type GatewayProcessOptions,
  MAX_BODY_BYTES,
  MAX_FDS,
  MEMORY_MB,
} from "./gateway_process.ts";
export { type ProcessUsage, readProcessUsage } from "./process_usage.ts";
