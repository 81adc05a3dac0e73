import type { Clock, Random, Sleep } from "@banyanspool/types";
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

/** What the parts of an entry share. */
export interface EntryContext {
  /** Settings of the process. */
  readonly cfg: EntrySettings;
  /** Incarnation of the process. */
  readonly incarnation: number;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Source of randomness. */
  readonly random: Random;
  /** The platform's services. */
  readonly platform: Platform;
  /** Connections to other daemons. */
  readonly pool: PeerPool;
  /** This daemon's part in the fleet. */
  readonly member: FleetMember;
  /** Rate and burst. */
  readonly limits: TokenBucketLimiter;
  /** Choice of replicas. */
  readonly router: Router;
  /** Choice of agents for plain services. */
  readonly serviceRouter: ServiceRouter;
  /** Loads models that are asked for and nowhere ready. */
  readonly modelLoader: ModelLoader;
  /** Demand by model. */
  readonly demand: DemandMeter;
  /** Keys in use. */
  readonly keys: KeyRegistry;
  /** Retries of all callers together. */
  readonly retryBudget: RetryBudget;
  /** Decision log. */
  readonly decisions: DecisionLog;
  /** Metrics. */
  readonly metrics: Metrics;
  /** Number of the next attempt. */
  readonly nextAttemptSequence: () => number;
  /** Whether a planned stop has begun. */
  readonly isDraining: () => boolean;
}
