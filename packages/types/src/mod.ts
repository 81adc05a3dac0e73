/**
 * Types that the packages share: requests, refusals, configuration, replicas,
 * clocks and results.
 *
 * @module
 */
export type { Clock, Milliseconds, Random, Sleep, Timestamp } from "./time.ts";
export { createSuspendAwareClock, createSystemClock, sleep } from "./time.ts";
export type {
  AttemptKey,
  ExecutionStatus,
  Refusal,
  RefusalCode,
} from "./refusal.ts";
export {
  formatAttemptKey,
  HTTP_STATUS_BY_CODE,
  parseAttemptKey,
  refuse,
  RETRYABLE_CODES,
} from "./refusal.ts";
export type {
  DaemonIdentity,
  DaemonRole,
  LiveInstance,
  ModelDemand,
  ReplicaReport,
  RequestClass,
} from "./fleet.ts";
export { REQUEST_CLASSES } from "./fleet.ts";
export type {
  BackendServer,
  CallerLimits,
  CallerRequest,
  EngineSpec,
  FleetConfiguration,
  OrganisationLimit,
  PromptPart,
  ResidentModel,
  RetrySafety,
  Route,
  ServedModel,
  ServiceSpec,
  TrafficShare,
} from "./gateway.ts";
export { incarnationOf, isEarlierRow } from "./gateway.ts";
export { err, ok } from "./result.ts";
export type { Err, Ok, Result } from "./result.ts";
