import type { SlidingWindowLimiter } from "@banyanspool/limits";
import type { EventFields, EventLog } from "@banyanspool/logger";
import type { DemandMeter } from "@banyanspool/placement";
import type { RetryBudget } from "@banyanspool/retry";
import type { Quarantine } from "@banyanspool/quarantine";
import type {
  ColdReplicas,
  LimitTable,
  ReplicaPauses,
  ReplicaPermits,
} from "@banyanspool/replica-limits";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { StreamOrigins, VersionHistory } from "@banyanspool/streams";
import type { BackendServer, Clock, Random, Sleep } from "@banyanspool/types";
import type { ConnectionPools } from "./connection_pools.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { EvacuationRecords } from "./evacuation/evacuation_records.ts";
import type { Evacuations } from "./evacuation/evacuations.ts";
import type { ExpectedModels } from "./expected_models.ts";
import type { FleetState } from "./fleet_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { WaitingRequestCounts } from "./waiting_request_counts.ts";

/** Dependencies that all requests of a gateway share. */
export interface GatewayContext {
  /** Time source. */
  readonly clock: Clock;
  /** Waits for a time in ms. */
  readonly sleep: Sleep;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Active configuration, and whether the gateway is stopping. */
  readonly fleet: FleetState;
  /** Load of the replicas, and the choice of one for a request. */
  readonly replicaTracker: ReplicaTracker;
  /** Data centres to whose replicas nothing may be sent. */
  readonly evacuations: Evacuations;
  /** What operators are told of the evacuations in force. */
  readonly evacuationRecords: EvacuationRecords;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Limits of replicas that are cold. */
  readonly coldReplicas: ColdReplicas;
  /** Limits that replicas name in their responses. */
  readonly replicaLimits: LimitTable;
  /** Permits for requests to replicas with a limit. */
  readonly replicaPermits: ReplicaPermits;
  /** Pauses that replicas asked this gateway for. */
  readonly replicaPauses: ReplicaPauses;
  /** Logs a stated load that can't be read, at a bounded rate. */
  readonly logUnreadableLoad: (fields: EventFields) => void;
  /** Records that a replica said in a response that it leaves. */
  readonly markLeaving: (server: BackendServer) => void;
  /** Rate limits of organisations, shared by all gateways. */
  readonly limits: SlidingWindowLimiter;
  /** Returns this gateway's share of a service's retry budget. */
  readonly retryBudget: (service: string) => RetryBudget;
  /** Demand for each model at this gateway. */
  readonly demand: DemandMeter;
  /** Models and adapters that requests of this gateway wait for. */
  readonly waitingRequests: WaitingRequestCounts;
  /** Models that are being loaded. */
  readonly expectedModels: ExpectedModels;
  /** Crashes of replicas, told from other cut-off responses. */
  readonly crashWatch: CrashWatch;
  /** Requests and prompt parts that crash replicas. */
  readonly quarantine: Quarantine;
  /** Software versions that began the streams of all gateways. */
  readonly streamOrigins: StreamOrigins;
  /** Software versions that replicas ran lately. */
  readonly versionHistory: VersionHistory;
  /** Resolves when what was stored before this process started is known. */
  readonly recalled: () => Promise<void>;
  /** Connections to replicas. */
  readonly pools: ConnectionPools;
  /** Structured log. */
  readonly log: EventLog;
  /** Prometheus metrics. */
  readonly metrics: GatewayMetrics;
}
