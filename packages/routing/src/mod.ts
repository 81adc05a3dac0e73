/**
 * Replica selection by predicted time to first token.
 *
 * @module
 */
export { Router } from "./router.ts";
export type { Dispatch, RouteRequest, RouterOptions } from "./router.ts";
export { predictFirstTokenMs } from "./predict.ts";
export type { Prediction, PredictionInput } from "./predict.ts";
export { PrefixHistory } from "./prefix_history.ts";
export type { PrefixHistoryOptions } from "./prefix_history.ts";
export { hashPrefixes } from "./prefix_hash.ts";
export { rankByAffinity } from "./affinity.ts";
export { ReplicaSpeeds } from "./replica_speed.ts";
export type { MeasuredWork, ReplicaOfService } from "./replica_speed.ts";
export { OutlierDetector } from "./outlier_detector.ts";
export type {
  Observation,
  OutlierDetectorOptions,
} from "./outlier_detector.ts";
export { averageTimeMs, formatModelName, usualTimeMs } from "./selection.ts";
export type { ReplicaSelection, SelectionRequest } from "./selection.ts";
export { listModelNames, ReplicaTracker } from "./replica_tracker.ts";
export type {
  AvailableModels,
  ReplicaTrackerOptions,
  RequestEnd,
  ResponseStart,
  SelectOptions,
  StatedReplicaLoad,
  TrackedRequest,
} from "./replica_tracker.ts";
export { RouteTable } from "./route_table.ts";
export { ReplicaLoads } from "./replica_loads.ts";
export type { InFlightLoad, RequestLoad } from "./replica_loads.ts";
