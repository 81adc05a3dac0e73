import { CallerMemory } from "@banyanspool/caller-memory";
import type { Clock, Random } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import {
  createDaemonBase,
  type DaemonBase,
  type DaemonEnvironment,
  FleetMember,
} from "@banyanspool/fleet";
import { ShareManager, TokenBucketLimiter } from "@banyanspool/limits";
import { createCollectorRanking } from "@banyanspool/membership";
import { RetryBudget } from "@banyanspool/retry";
import { Router } from "@banyanspool/routing";
import type { EntrySettings } from "@banyanspool/settings";
import type { EntryContext } from "./context.ts";
import { DemandMeter } from "@banyanspool/placement";
import { KeyRegistry } from "./key_registry.ts";
import { ModelLoader } from "./model_loader.ts";
import { PlacementController } from "./placement_controller.ts";
import { createAdviceSender } from "./send_advice.ts";
import { ServiceRouter } from "./service_router.ts";

const BYTES_PER_MB = 1024 * 1024;
const SHARE_LEASE_MS = 8000;
const MAX_PENDING_DECISIONS = 20_000;
const REPORT_LAG_MS = 1500;
const ROUTE_SAMPLE_SIZE = 4;
const LOCAL_RTT_MS = 1;
const REMOTE_RTT_MS = 2;
/** Short, to follow sudden changes in demand. */
const DEMAND_FAST_WINDOW_MS = 30_000;
/** Long, so that a short lull does not count as the end of demand. */
const DEMAND_SLOW_WINDOW_MS = 600_000;
const RETRY_RATIO = 0.1;
const RETRY_BURST = 20;
const LOAN_TIMEOUT_MS = 250;

/** Options of {@link createEntryComponents}. */
export interface EntryComponentsOptions extends DaemonEnvironment {
  /** Settings of the entry process. */
  readonly cfg: EntrySettings;
  /** Random source; `Math.random` by default. */
  readonly random?: Random;
  /** Whether a graceful shutdown has begun. */
  readonly isDraining: () => boolean;
  /** Called with the document after each configuration change. */
  readonly onDocument: (document: Document) => void;
}

/** Components of an entry. */
export interface EntryComponents {
  /** Services that the components share. */
  readonly ctx: EntryContext;
  /** This entry's shares of the rate limits. */
  readonly shares: ShareManager;
  /** Plans model placement while this entry holds the lease. */
  readonly placementController: PlacementController;
}

/** Creates the components of an entry without starting them. */
export async function createEntryComponents(
  options: EntryComponentsOptions,
): Promise<EntryComponents> {
  const { cfg, isDraining } = options;
  const maxPendingDecisions = MAX_PENDING_DECISIONS;
  const base = createDaemonBase({ ...options, maxPendingDecisions });
  const { clock, sleep, decisions, pool, incarnation } = base;
  const random = options.random ?? Math.random;
  const router = createRouter(cfg, { clock, random });
  const keys = KeyRegistry.create();
  const demand = DemandMeter.create({
    clock,
    fastWindowMs: DEMAND_FAST_WINDOW_MS,
    slowWindowMs: DEMAND_SLOW_WINDOW_MS,
  });
  const member = FleetMember.create({
    ...base,
    identity: {
      instance: cfg.instance,
      incarnation,
      role: "entry",
      dataCentre: cfg.data_centre,
      address: cfg.internal_listen,
    },
    ranking: await createCollectorRanking(),
    seeds: cfg.seeds,
    local: { reports: () => [], demand: () => demand.read() },
    onConfig: ({ document }) => {
      keys.update(document);
      shares.resizeAll();
      options.onDocument(document);
    },
    onReport: (report) => router.update(report),
    onReplicaGone: (replica) => router.remove(replica),
  });
  const { shares, limits } = createLimits(base, { cfg, member });
  const configVersion = () => member.config.version;
  const advise = createAdviceSender({ pool, router, configVersion });
  const document = () => member.config.current?.document;
  const ctx: EntryContext = {
    ...base,
    cfg,
    random,
    member,
    limits,
    router,
    keys,
    demand,
    serviceRouter: ServiceRouter.create({ router, random }),
    modelLoader: ModelLoader.create({ router, clock, sleep, document, advise }),
    retryBudget: RetryBudget.create({
      ratio: RETRY_RATIO,
      burst: () => RETRY_BURST,
    }),
    callerMemory: CallerMemory.create({
      totalBytes: cfg.caller_memory_mb * BYTES_PER_MB,
      reserveBytes: cfg.max_body_bytes,
    }),
    nextAttemptSequence: createCounter(),
    isDraining,
  };
  const placementController = PlacementController.create({
    ...base,
    member,
    router,
    decisions,
    advise,
  });
  return { ctx, shares, placementController };
}

function createRouter(
  cfg: EntrySettings,
  { clock, random }: { clock: Clock; random: Random },
): Router {
  return Router.create({
    clock,
    random,
    rttMs: (dataCentre) =>
      dataCentre === cfg.data_centre ? LOCAL_RTT_MS : REMOTE_RTT_MS,
    reportLagMs: REPORT_LAG_MS,
    sampleSize: ROUTE_SAMPLE_SIZE,
  });
}

function createLimits(
  { clock, sleep, platform, pool, metrics, incarnation }: DaemonBase,
  { cfg, member }: { cfg: EntrySettings; member: FleetMember },
): { shares: ShareManager; limits: TokenBucketLimiter } {
  const holder = `${cfg.instance}#${incarnation}`;
  const limitOf = (organisation: string) => {
    const limit = member.config.current?.document.limits[organisation];
    if (!limit) return undefined;
    return { ratePerS: limit.rate_tokens_per_s, burst: limit.burst_tokens };
  };
  const shares = ShareManager.create({
    table: platform.table,
    holder,
    address: cfg.internal_listen,
    leaseMs: SHARE_LEASE_MS,
    clock,
    limitOf,
    isGone: (other) => isUnlisted(member, other),
  });
  const callOptions = { timeoutMs: LOAN_TIMEOUT_MS };
  const limits = TokenBucketLimiter.create({
    shareManager: shares,
    clock,
    sleep,
    loanIdPrefix: holder,
    limitOf,
    borrow: async (lender, request) => {
      const message = { ...request, borrower: holder };
      const res = await pool.getConnection(lender).peer.borrow(
        message,
        callOptions,
      );
      const outcome = res.granted > 0 ? "granted" : "refused";
      metrics.loans.inc({ outcome });
      return res.granted;
    },
    settle: async (lender, request) => {
      await pool.getConnection(lender).peer.settle(request, callOptions);
    },
  });
  return { shares, limits };
}

/** Whether a share holder's instance is absent from the platform's list. */
function isUnlisted(member: FleetMember, holder: string): boolean {
  const [instance] = holder.split("#");
  return member.liveInstances.listed.every((row) => row.instance !== instance);
}

function createCounter(): () => number {
  let last = 0;
  return () => {
    last += 1;
    return last;
  };
}
