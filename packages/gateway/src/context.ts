import type { SlidingWindowLimiter } from "@banyanspool/limits";
import type { EventLog } from "@banyanspool/logger";
import type { DemandMeter } from "@banyanspool/placement";
import type { RetryBudget } from "@banyanspool/retry";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { Clock, Random, Sleep } from "@banyanspool/types";
import type { ConnectionPools } from "./connection_pools.ts";
import type { FleetState } from "./fleet_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { WaitingRequestCounts } from "./waiting_request_counts.ts";

/** What a request's task needs. */
export interface GatewayContext {
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Source of spread. */
  readonly random: Random;
  /** Configuration and stopping. */
  readonly fleet: FleetState;
  /** Replicas and the choice among them. */
  readonly replicaTracker: ReplicaTracker;
  /** Rate and burst of organisations. */
  readonly limits: SlidingWindowLimiter;
  /** Retry budget of a service, this gateway's part. */
  readonly retryBudget: (service: string) => RetryBudget;
  /** Demand of each model at this gateway. */
  readonly demand: DemandMeter;
  /** Requests that wait for a model. */
  readonly waitingRequests: WaitingRequestCounts;
  /** Connections to replicas. */
  readonly pools: ConnectionPools;
  /** Structured log. */
  readonly log: EventLog;
  /** Metrics. */
  readonly metrics: GatewayMetrics;
}
