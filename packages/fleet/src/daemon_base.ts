import {
  type Clock,
  createSystemClock,
  type Sleep,
  sleep as systemSleep,
} from "@banyanspool/types";
import { DecisionLog } from "@banyanspool/audit";
import { Metrics } from "@banyanspool/metrics";
import { createHttpPlatform, type Platform } from "@banyanspool/platform";
import { PeerPool } from "@banyanspool/wire";

const DECISION_FLUSH_INTERVAL_MS = 10_000;

/** Largest message between daemons, in bytes. */
export const MAX_MESSAGE_BYTES: number = 16 * 1024 * 1024;

/** Dependencies that tests replace; the system's by default. */
export interface DaemonEnvironment {
  /** Time source. */
  readonly clock?: Clock;
  /** Sleep function. */
  readonly sleep?: Sleep;
  /** Services of the platform: instance list, table and object store. */
  readonly platform?: Platform;
}

/** Options of {@link createDaemonBase}. */
export interface DaemonBaseOptions extends DaemonEnvironment {
  /** Settings that all daemons share. */
  readonly cfg: {
    readonly instance: string;
    readonly platform_url: string;
    readonly fleet_secret: string;
  };
  /** Most decision records kept in memory while the store is unavailable. */
  readonly maxPendingDecisions: number;
}

/** Components that every daemon has. */
export interface DaemonBase {
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function. */
  readonly sleep: Sleep;
  /** Services of the platform: instance list, table and object store. */
  readonly platform: Platform;
  /** Number that increases with each start of the process. */
  readonly incarnation: number;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** Decision log. */
  readonly decisions: DecisionLog;
}

/** Creates the components that every daemon has. */
export function createDaemonBase(options: DaemonBaseOptions): DaemonBase {
  const { cfg } = options;
  const { instance } = cfg;
  const clock = options.clock ?? createSystemClock();
  const sleep = options.sleep ?? systemSleep;
  const platform = options.platform ??
    createHttpPlatform({ url: cfg.platform_url });
  const incarnation = clock.wall();
  const metrics = Metrics.create();
  const pool = PeerPool.create({
    secret: cfg.fleet_secret,
    instance,
    wall: clock.wall,
    maxMessageBytes: MAX_MESSAGE_BYTES,
  });
  const decisions = DecisionLog.create({
    objects: platform.objects,
    clock,
    sleep,
    instance,
    incarnation,
    flushIntervalMs: DECISION_FLUSH_INTERVAL_MS,
    maxPending: options.maxPendingDecisions,
    count: (outcome, records) => metrics.decisions.inc({ outcome }, records),
  });
  return { clock, sleep, platform, incarnation, metrics, pool, decisions };
}
