import { SlidingWindowLimiter } from "@banyanspool/limits";
import type { EventLog } from "@banyanspool/logger";
import { DemandMeter } from "@banyanspool/placement";
import { Quarantine } from "@banyanspool/quarantine";
import {
  ColdReplicas,
  LimitTable,
  ReplicaPauses,
  ReplicaPermits,
  type ReplicaPermitsOptions,
} from "@banyanspool/replica-limits";
import { RetryBudget } from "@banyanspool/retry";
import { ReplicaTracker } from "@banyanspool/routing";
import type { GatewaySettings } from "@banyanspool/settings";
import {
  StreamOrigins,
  type StreamOriginsOptions,
  VersionHistory,
} from "@banyanspool/streams";
import {
  type BackendServer,
  type Clock,
  incarnationOf,
  sleep,
} from "@banyanspool/types";
import { ConnectionPools } from "./connection_pools.ts";
import type { GatewayContext } from "./context.ts";
import { CrashWatch, tryConnect } from "./crash_watch.ts";
import { findBar } from "./evacuation/allowed_replicas.ts";
import { EvacuationRecords } from "./evacuation/evacuation_records.ts";
import { Evacuations } from "./evacuation/evacuations.ts";
import { ExpectedModels } from "./expected_models.ts";
import type { FleetState } from "./fleet_state.ts";
import { rankByDataCentre, type RankedGateway } from "./gateway_ranking.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { throttleEvent } from "./throttled_log.ts";
import { WaitingRequestCounts } from "./waiting_request_counts.ts";

/** Options of {@link createContext}. */
export interface ContextOptions {
  /** Checked settings. */
  readonly cfg: GatewaySettings;
  /** Time source. */
  readonly clock: Clock;
  /** Structured log. */
  readonly log: EventLog;
  /** Prometheus metrics. */
  readonly metrics: GatewayMetrics;
  /** Active configuration, and whether the gateway is stopping. */
  readonly fleet: FleetState;
  /** Number of gateways that reported lately, including this one. */
  readonly liveCount: () => number;
  /** Whether this gateway knows all others, though it may have just started. */
  readonly knowsOthers: () => boolean;
  /** Live gateways, including this one. */
  readonly liveGateways: () => readonly RankedGateway[];
  /** Whether a replica is listed and not draining. */
  readonly isServing: (server: BackendServer) => boolean;
  /** Records that a replica said in a response that it leaves. */
  readonly markLeaving: (server: BackendServer) => void;
  /** Sends a message about streams to another gateway; it may be lost. */
  readonly sendStreamMessage: StreamOriginsOptions["send"];
  /** Whether another gateway has reported within the last few intervals. */
  readonly isResponsive: (instance: string) => boolean;
  /** Share of the gateways heard of in the last minute that are responsive. */
  readonly reachableShare: () => number;
  /** Sends a message about permits to another gateway; it may be lost. */
  readonly sendPermitMessage: ReplicaPermitsOptions["send"];
  /** Resolves when what was stored before this process started is known. */
  readonly recalled: () => Promise<void>;
  /** Called when the other gateways should get a report soon. */
  readonly onNews: () => void;
}

/** Short, so that a shift of demand is followed within seconds. */
const DEMAND_FAST_WINDOW_MS = 3000;
/** Long, so that a model stays loaded through a pause between its requests. */
const DEMAND_SLOW_WINDOW_MS = 15_000;
/** Share of an organisation's burst that a new process admits at once. */
const INITIAL_BURST_SHARE = 0.25;
/** Share of the fleet's retry budget that the gateways use together. */
const RETRY_BUDGET_SHARE = 0.8;
/** Share of a replica's connections that the gateways use together. */
const CONNECTION_SHARE = 0.8;
const MIN_CONNECTIONS = 8;
/** Shortest time between two lines on loads that can't be read. */
const UNREADABLE_LOAD_LOG_INTERVAL_MS = 10_000;
/** Time for which callers may take up a stream that was cut off. */
const RESUMPTION_WINDOW_MS = 30_000;

/**
 * Creates the dependencies that requests share. Retry budgets and connections
 * are this gateway's shares of the fleet's.
 */
export function createContext(
  options: ContextOptions,
): GatewayContext {
  const { cfg, clock, log, metrics, fleet, liveCount } = options;
  const findEngine = (service: string) =>
    fleet.activeConfiguration?.configuration.services.get(service)?.engine;
  const budgets = new Map<string, RetryBudget>();
  const burst = () => cfg.retry_burst * RETRY_BUDGET_SHARE / liveCount();
  const quarantine = createQuarantine(options);
  const replicaLimits = LimitTable.create({
    clock,
    onChange: (replica, ratePerS) => {
      log.write("replica limit", { replica, requests_per_s: ratePerS ?? null });
      options.onNews();
    },
  });
  const coldReplicas = ColdReplicas.create({
    clock,
    limitOfService: (service) => {
      const spec = fleet.activeConfiguration?.configuration.services
        .get(service);
      if (spec?.coldPerS === undefined) return undefined;
      return { coldStartMs: spec.coldStartMs ?? 0, coldPerS: spec.coldPerS };
    },
    knowsOthers: options.knowsOthers,
    onCold: (replica, forMs) =>
      log.write("replica cold", { replica, for_ms: Math.round(forMs) }),
    onImplausible: (replica, coldForMs) =>
      log.write("cold time implausible", {
        replica,
        cold_for_ms: String(coldForMs),
      }),
  });
  metrics.countColdReplicas(() => coldReplicas.count);
  const replicaPermits = ReplicaPermits.create({
    clock,
    sleep,
    random: Math.random,
    instance: cfg.instance,
    limitOf: (replica) =>
      lowest(replicaLimits.get(replica), coldReplicas.limitOf(replica)),
    mayIssue: (replica) => coldReplicas.mayIssue(replica),
    issuersOf: (replica) => rankByDataCentre(replica, options.liveGateways()),
    isResponsive: options.isResponsive,
    reachableShare: options.reachableShare,
    send: options.sendPermitMessage,
  });
  const replicaPauses = ReplicaPauses.create({
    clock,
    sleep,
    onPause: (replica, forMs) =>
      log.write("replica paused", { replica, for_ms: Math.round(forMs) }),
  });
  const regions = cfg.regions ?? {};
  const evacuationRecords = EvacuationRecords.create({ clock });
  const evacuations = Evacuations.create({
    onChange: (dataCentre, isEvacuated) => {
      evacuationRecords.recordChange(dataCentre, isEvacuated);
      metrics.recordEvacuation(dataCentre, isEvacuated);
      const replicas = [...replicaTracker.servers.values()]
        .filter((server) => server.dataCentre === dataCentre).length;
      log.write("evacuation", {
        data_centre: dataCentre,
        in_force: isEvacuated,
        replicas,
        known: replicas > 0 || !fleet.hasReplicaList,
      });
      if (!isEvacuated) coldReplicas.recordReturn(dataCentre);
      // Requests that wait look for another replica, or are refused.
      fleet.changed.notify();
    },
  });
  const replicaTracker = ReplicaTracker.create({
    clock,
    random: Math.random,
    dataCentre: cfg.data_centre,
    liveEntryCount: liveCount,
    kvCapacityOf: (service) => findEngine(service)?.kvCapacityTokens,
    permitStateOf: (server) =>
      replicaLimits.hasLimits || coldReplicas.hasLimits
        ? replicaPermits.stateOf(incarnationOf(server))
        : "unlimited",
    admits: (server, waiting) =>
      replicaPauses.isEmpty ||
      replicaPauses.admits(incarnationOf(server), waiting),
    allows: (server, request) =>
      findBar(request, {
        regions,
        isEvacuated: (dataCentre) => evacuations.isEvacuated(dataCentre),
        server,
      }) === undefined,
  });
  return {
    clock,
    sleep,
    random: Math.random,
    fleet,
    replicaTracker,
    evacuations,
    evacuationRecords,
    regions,
    coldReplicas,
    replicaLimits,
    replicaPermits,
    replicaPauses,
    logUnreadableLoad: throttleEvent("server load unreadable", {
      log,
      clock,
      intervalMs: UNREADABLE_LOAD_LOG_INTERVAL_MS,
    }),
    markLeaving: options.markLeaving,
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
      const existing = budgets.get(service);
      if (existing) return existing;
      const budget = RetryBudget.create({
        ratio: cfg.retry_ratio * RETRY_BUDGET_SHARE,
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
    waitingRequests: WaitingRequestCounts.create({ clock }),
    expectedModels: ExpectedModels.create({ clock }),
    quarantine,
    crashWatch: CrashWatch.create({
      clock,
      tryConnect,
      isServing: options.isServing,
      onCrash: ({ server, incarnation, requests }) => {
        const parts = [...new Set(requests.flatMap(({ parts }) => parts))];
        log.write("replica crashed", {
          replica: incarnation,
          requests: requests.map(({ digest }) => digest),
          prompt_parts: parts,
        });
        quarantine.recordCrash(incarnation, requests);
        // The placement lease holder checks it, and loads its models elsewhere.
        replicaTracker.markCrashed(server.id);
        options.onNews();
      },
    }),
    streamOrigins: StreamOrigins.create({
      clock,
      sleep,
      windowMs: RESUMPTION_WINDOW_MS,
      keepersOf: (id) =>
        rankByDataCentre(id, options.liveGateways())
          .filter((instance) => instance !== cfg.instance),
      send: options.sendStreamMessage,
    }),
    versionHistory: VersionHistory.create({
      clock,
      isFirstStart: cfg.first_start,
      windowMs: RESUMPTION_WINDOW_MS,
    }),
    recalled: options.recalled,
    pools: ConnectionPools.create({
      maxConnectionsFor: (service) => {
        const spec = fleet.activeConfiguration?.configuration.services.get(
          service,
        );
        const maxConnections = spec?.maxConnections ?? Infinity;
        if (!Number.isFinite(maxConnections)) return 1000;
        const share = maxConnections * CONNECTION_SHARE / liveCount();
        return Math.max(MIN_CONNECTIONS, Math.floor(share));
      },
    }),
    log,
    metrics,
  };
}

/** The lower of two limits; undefined if there is none. */
function lowest(
  a: number | undefined,
  b: number | undefined,
): number | undefined {
  if (a === undefined || b === undefined) return a ?? b;
  return Math.min(a, b);
}

function createQuarantine(
  { cfg, clock, log, metrics, fleet, liveGateways }: ContextOptions,
): Quarantine {
  return Quarantine.create({
    clock,
    isTrialOwner: (suspect) =>
      rankByDataCentre(suspect, liveGateways())[0] === cfg.instance,
    onStart: (suspect, durationMs) => {
      metrics.quarantines.inc();
      log.write("quarantine started", { suspect, duration_ms: durationMs });
      // Requests that wait with the suspect are refused now.
      fleet.changed.notify();
    },
    onCleared: (suspect) => log.write("quarantine cleared", { suspect }),
  });
}
