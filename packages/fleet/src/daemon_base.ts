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

const AUDIT_INTERVAL_MS = 10_000;

/** Largest message between daemons, in bytes. */
export const MAX_MESSAGE_BYTES: number = 16 * 1024 * 1024;

/** What varies in tests; the system's by default. */
export interface DaemonEnvironment {
  /** Time source. */
  readonly clock?: Clock;
  /** Waits. */
  readonly sleep?: Sleep;
  /** The platform's services. */
  readonly platform?: Platform;
}

/** Options of {@link createDaemonBase}. */
export interface DaemonBaseOptions extends DaemonEnvironment {
  /** Settings that all daemons have. */
  readonly cfg: {
    readonly instance: string;
    readonly platform_url: string;
    readonly fleet_secret: string;
  };
  /** Decision records kept in memory while the store is down. */
  readonly maxPendingDecisions: number;
}

/** What every daemon is built on. */
export interface DaemonBase {
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** The platform's services. */
  readonly platform: Platform;
  /** Rises with each start of the process. */
  readonly incarnation: number;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** Decision log. */
  readonly decisions: DecisionLog;
}

/** Builds what every daemon is built on. */
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
    flushIntervalMs: AUDIT_INTERVAL_MS,
    maxPending: options.maxPendingDecisions,
    count: (outcome, records) => metrics.decisions.inc({ outcome }, records),
  });
  return { clock, sleep, platform, incarnation, metrics, pool, decisions };
}
