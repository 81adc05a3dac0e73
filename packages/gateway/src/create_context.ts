import { SlidingWindowLimiter } from "@banyanspool/limits";
import type { EventLog } from "@banyanspool/logger";
import { DemandMeter } from "@banyanspool/placement";
import { RetryBudget } from "@banyanspool/retry";
import { ReplicaTracker } from "@banyanspool/routing";
import type { GatewaySettings } from "@banyanspool/settings";
import { type Clock, sleep } from "@banyanspool/types";
import { ConnectionPools } from "./connection_pools.ts";
import type { GatewayContext } from "./context.ts";
import type { FleetState } from "./fleet_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { WaitingRequestCounts } from "./waiting_request_counts.ts";

/** Options of {@link createContext}. */
export interface ContextOptions {
  /** Checked settings. */
  readonly cfg: GatewaySettings;
  /** Time source. */
  readonly clock: Clock;
  /** Structured log. */
  readonly log: EventLog;
  /** Metrics. */
  readonly metrics: GatewayMetrics;
  /** Configuration and stopping. */
  readonly fleet: FleetState;
  /** Gateways that were heard lately, this one included. */
  readonly liveCount: () => number;
}

/** Follows a shift of demand within seconds. */
const DEMAND_FAST_WINDOW_MS = 3000;
/** Keeps a model in place through a lull between its requests. */
const DEMAND_SLOW_WINDOW_MS = 15_000;
/** Part of an organisation's burst that a new process has at once. */
const INITIAL_BURST_SHARE = 0.25;
/** Part of the fleet's retry budget that is used. */
const BUDGET_SHARE = 0.8;
/** Part of a replica's connections that all gateways use together. */
const CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 8;

/** Creates what requests' tasks share, with this gateway's part of limits. */
export function createContext(
  { cfg, clock, log, metrics, fleet, liveCount }: ContextOptions,
): GatewayContext {
  const engineOf = (service: string) =>
    fleet.activeConfiguration?.configuration.services.get(service)?.engine;
  const budgets = new Map<string, RetryBudget>();
  const burst = () => cfg.retry_burst * BUDGET_SHARE / liveCount();
  return {
    clock,
    sleep,
    random: Math.random,
    fleet,
    replicaTracker: ReplicaTracker.create({
      clock,
      random: Math.random,
      dataCentre: cfg.data_centre,
      kvCapacityOf: (service) => engineOf(service)?.kvCapacityTokens,
    }),
    limits: SlidingWindowLimiter.create({
      clock,
      windowMs: cfg.limit_window_ms,
      isFirstStart: cfg.first_start,
      initialBurstShare: INITIAL_BURST_SHARE,
      overage: cfg.limit_overage,
      slackTokens: cfg.limit_slack,
      liveEntryCount: liveCount,
      random: Math.random,
    }),
    retryBudget: (service) => {
      const known = budgets.get(service);
      if (known) return known;
      const budget = RetryBudget.create({
        ratio: cfg.retry_ratio * BUDGET_SHARE,
        burst,
      });
      budgets.set(service, budget);
      return budget;
    },
    demand: DemandMeter.create({
      clock,
      fastWindowMs: DEMAND_FAST_WINDOW_MS,
      slowWindowMs: DEMAND_SLOW_WINDOW_MS,
    }),
    waitingRequests: WaitingRequestCounts.create(),
    pools: ConnectionPools.create({
      maxConnectionsFor: (service) => {
        const spec = fleet.activeConfiguration?.configuration.services.get(
          service,
        );
        const most = spec?.maxConnections ?? Infinity;
        if (!Number.isFinite(most)) return 1000;
        const part = most * CONNECTION_SHARE / liveCount();
        return Math.max(MIN_CONNECTIONS, Math.floor(part));
      },
    }),
    log,
    metrics,
  };
}
