import type { Clock, Random, Sleep } from "@banyanspool/types";
import type { CallerMemory } from "@banyanspool/caller-memory";
import type { DecisionLog } from "@banyanspool/audit";
import type { FleetMember } from "@banyanspool/fleet";
import type { TokenBucketLimiter } from "@banyanspool/limits";
import type { Metrics } from "@banyanspool/metrics";
import type { Platform } from "@banyanspool/platform";
import type { RetryBudget } from "@banyanspool/retry";
import type { Router } from "@banyanspool/routing";
import type { EntrySettings } from "@banyanspool/settings";
import type { PeerPool } from "@banyanspool/wire";
import type { DemandMeter } from "@banyanspool/placement";
import type { KeyRegistry } from "./key_registry.ts";
import type { ModelLoader } from "./model_loader.ts";
import type { ServiceRouter } from "./service_router.ts";

/** Services that the components of an entry share. */
export interface EntryContext {
  /** Settings of the entry process. */
  readonly cfg: EntrySettings;
  /** Incarnation of the process; changes with each restart. */
  readonly incarnation: number;
  /** Monotonic and wall-clock time. */
  readonly clock: Clock;
  /** Waits for a time in ms; rejects when aborted. */
  readonly sleep: Sleep;
  /** Returns random numbers from 0 to below 1. */
  readonly random: Random;
  /** Client of the platform's services. */
  readonly platform: Platform;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** This daemon's membership in the fleet. */
  readonly member: FleetMember;
  /** Rate limits by organisation. */
  readonly limits: TokenBucketLimiter;
  /** Chooses replicas for model requests. */
  readonly router: Router;
  /** Chooses agents for calls to plain services. */
  readonly serviceRouter: ServiceRouter;
  /** Requests loads of models that are requested but not ready anywhere. */
  readonly modelLoader: ModelLoader;
  /** Measures the demand for each model. */
  readonly demand: DemandMeter;
  /** Granted keys and the requests running on them. */
  readonly keys: KeyRegistry;
  /** Retry budget shared by all callers. */
  readonly retryBudget: RetryBudget;
  /** Receives decision records. */
  readonly decisions: DecisionLog;
  /** Counts the bodies that are held for callers. */
  readonly callerMemory: CallerMemory;
  readonly metrics: Metrics;
  /** Returns the next attempt's sequence number, from 1. */
  readonly nextAttemptSequence: () => number;
  /** Whether a graceful shutdown has begun. */
  readonly isDraining: () => boolean;
}
