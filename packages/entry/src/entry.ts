import {
  type Clock,
  createSystemClock,
  type Random,
  refuse,
  type Sleep,
  sleep as systemSleep,
} from "@banyanspool/types";
import { DecisionLog } from "@banyanspool/audit";
import {
  addPeerService,
  FleetMember,
  type MetricsServer,
  startMetricsServer,
} from "@banyanspool/fleet";
import { Limits, ShareKeeper } from "@banyanspool/limits";
import { createLog } from "@banyanspool/logger";
import { createCollectorRanking } from "@banyanspool/membership";
import { Metrics } from "@banyanspool/metrics";
import { createHttpPlatform, type Platform } from "@banyanspool/platform";
import { RetryBudget } from "@banyanspool/retry";
import { Router } from "@banyanspool/routing";
import { type EntrySettings, splitAddress } from "@banyanspool/settings";
import { Supervisor } from "@banyanspool/supervisor";
import {
  type InternalServer,
  PeerPool,
  type ShareStatus,
  ShareStatusSchema,
  startInternalServer,
  toWireReport,
} from "@banyanspool/wire";
import { create } from "@bufbuild/protobuf";
import type { EntryContext } from "./context.ts";
import { DemandMeter } from "./demand_meter.ts";
import { KeyWatch } from "./key_watch.ts";
import { ModelLoader } from "./model_loader.ts";
import { PlacementDuty } from "./placement_duty.ts";
import { type PublicServer, startPublicServer } from "./public_server.ts";
import { createAdviceSender } from "./send_advice.ts";
import { ServiceRouter } from "./service_router.ts";

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
const SHARE_LEASE_MS = 8000;
const SHARE_INTERVAL_MS = 1500;
const FRESHNESS_INTERVAL_MS = 500;
const CUT_OFF_GRACE_MS = 2000;
const AUDIT_INTERVAL_MS = 10_000;
const MAX_PENDING_DECISIONS = 20_000;
const REPORT_LAG_MS = 1500;
const ROUTE_SAMPLE = 4;
const LOCAL_RTT_MS = 1;
const REMOTE_RTT_MS = 2;
const RETRY_RATIO = 0.1;
const RETRY_BURST = 20;
const LOAN_TIMEOUT_MS = 250;

const log = createLog("entry");

/** Options of {@link Entry.create}. */
export interface EntryOptions {
  /** Settings of the process. */
  readonly cfg: EntrySettings;
  /** Time source; the system's by default. */
  readonly clock?: Clock;
  /** Waits; the system's by default. */
  readonly sleep?: Sleep;
  /** Source of randomness; the system's by default. */
  readonly random?: Random;
  /** The platform's services; by HTTP by default. */
  readonly platform?: Platform;
}

interface Servers {
  readonly internal: InternalServer;
  readonly metrics: MetricsServer;
  readonly public: PublicServer;
}

/** One entry: all its parts and the tree that supervises them. */
export class Entry {
  readonly #ctx: EntryContext;
  readonly #shares: ShareKeeper;
  readonly #placement: PlacementDuty;
  readonly #supervisor: Supervisor;
  readonly #drain: { isDraining: boolean };
  #servers: Servers | undefined;
  #cutOffSince: number | undefined;

  private constructor(
    ctx: EntryContext,
    parts: {
      shares: ShareKeeper;
      placement: PlacementDuty;
      drain: { isDraining: boolean };
    },
  ) {
    this.#ctx = ctx;
    this.#shares = parts.shares;
    this.#placement = parts.placement;
    this.#drain = parts.drain;
    this.#supervisor = Supervisor.create({ name: "entry", sleep: ctx.sleep });
  }

  /** Builds an entry from its settings; {@link start} runs it. */
  static async create(options: EntryOptions): Promise<Entry> {
    const { cfg } = options;
    const clock = options.clock ?? createSystemClock();
    const sleep = options.sleep ?? systemSleep;
    const random = options.random ?? Math.random;
    const platform = options.platform ??
      createHttpPlatform({ url: cfg.platform_url });
    const incarnation = clock.wall();
    const metrics = Metrics.create();
    const pool = PeerPool.create({
      secret: cfg.fleet_secret,
      instance: cfg.instance,
      wall: clock.wall,
      maxMessageBytes: MAX_MESSAGE_BYTES,
    });
    const router = Router.create({
      clock,
      random,
      rttMs: (dataCentre) =>
        dataCentre === cfg.data_centre ? LOCAL_RTT_MS : REMOTE_RTT_MS,
      reportLagMs: REPORT_LAG_MS,
      sampleSize: ROUTE_SAMPLE,
    });
    const keys = KeyWatch.create();
    const demand = DemandMeter.create({ clock });
    const member = FleetMember.create({
      identity: {
        instance: cfg.instance,
        incarnation,
        role: "entry",
        dataCentre: cfg.data_centre,
        address: cfg.internal_listen,
      },
      clock,
      sleep,
      platform,
      pool,
      ranking: await createCollectorRanking(),
      seeds: cfg.seeds,
      local: { reports: () => [], demand: () => demand.read() },
      onConfig: ({ document }) => {
        keys.update(document);
        shares.resizeAll();
        entry.#servers?.public.update(document);
      },
      onReport: (report) => router.update(report),
      onGone: (replica) => router.remove(replica),
    });
    const limitOf = (organisation: string) => {
      const limit = member.config.current?.document.limits[organisation];
      if (!limit) return undefined;
      return { ratePerS: limit.rate_tokens_per_s, burst: limit.burst_tokens };
    };
    const holder = `${cfg.instance}#${incarnation}`;
    const shares = ShareKeeper.create({
      table: platform.table,
      holder,
      address: cfg.internal_listen,
      leaseMs: SHARE_LEASE_MS,
      clock,
      limitOf,
      isGone: (other) =>
        member.live.listed.every(({ instance }) =>
          instance !== other.split("#")[0]
        ),
    });
    const limits = Limits.create({
      keeper: shares,
      clock,
      sleep,
      loanPrefix: holder,
      limitOf,
      borrow: async (lender, request) => {
        const message = { ...request, borrower: holder };
        const timeout = { timeoutMs: LOAN_TIMEOUT_MS };
        const res = await pool.at(lender).peer.borrow(message, timeout);
        metrics.loans.inc({ outcome: res.granted > 0 ? "granted" : "refused" });
        return res.granted;
      },
      settle: async (lender, request) => {
        const timeout = { timeoutMs: LOAN_TIMEOUT_MS };
        await pool.at(lender).peer.settle(request, timeout);
      },
    });
    const decisions = DecisionLog.create({
      objects: platform.objects,
      clock,
      sleep,
      instance: cfg.instance,
      incarnation,
      flushIntervalMs: AUDIT_INTERVAL_MS,
      maxPending: MAX_PENDING_DECISIONS,
      count: (outcome, records) => metrics.decisions.inc({ outcome }, records),
    });
    const advise = createAdviceSender({
      pool,
      router,
      configVersion: () => member.config.version,
    });
    const loader = ModelLoader.create({
      router,
      clock,
      sleep,
      document: () => member.config.current?.document,
      advise,
    });
    const placement = PlacementDuty.create({
      member,
      router,
      platform,
      clock,
      sleep,
      decisions,
      advise,
    });
    let sequence = 0;
    const drain = { isDraining: false };
    const ctx: EntryContext = {
      cfg,
      incarnation,
      clock,
      sleep,
      random,
      platform,
      pool,
      member,
      limits,
      router,
      services: ServiceRouter.create({ router, random }),
      loader,
      demand,
      keys,
      retryBudget: RetryBudget.create({
        ratio: RETRY_RATIO,
        burst: RETRY_BURST,
      }),
      decisions,
      metrics,
      nextSequence: () => {
        sequence += 1;
        return sequence;
      },
      isDraining: () => drain.isDraining,
    };
    const entry = new Entry(ctx, { shares, placement, drain });
    return entry;
  }

  /** Ports that the entry listens on, once it has started. */
  get ports(): { public: number; internal: number; metrics: number } {
    const servers = this.#servers!;
    return {
      public: servers.public.port,
      internal: servers.internal.port,
      metrics: servers.metrics.port,
    };
  }

  /** Starts the listeners and the tasks. */
  async start(): Promise<void> {
    const { cfg, member, decisions } = this.#ctx;
    const internal = await this.#startInternal();
    const metrics = await startMetricsServer({
      ...splitAddress(cfg.metrics_listen),
      metrics: this.#ctx.metrics,
      refresh: () => this.#refreshGauges(),
    });
    await member.readList();
    await member.readStore();
    this.#servers = {
      internal,
      metrics,
      public: await startPublicServer(this.#ctx),
    };
    const { current } = member.config;
    if (current) this.#servers.public.update(current.document);
    // Stopped in reverse order: decisions are written last.
    const always = "always" as const;
    const start = (name: string, run: (signal: AbortSignal) => Promise<void>) =>
      this.#supervisor.start({ name, restart: always, run });
    start("decisions", (signal) => decisions.run(signal));
    start("list", (signal) => member.runList(signal));
    start("sync", (signal) => member.runSync(signal));
    start("shares", (signal) => this.#runShares(signal));
    start("freshness", (signal) => this.#watchFreshness(signal));
    start("placement", (signal) => this.#placement.run(signal));
    log(`Entry "${cfg.instance}" listens on ${cfg.public_listen}`);
  }

  /** Stops without cutting off a request. */
  async stop(): Promise<void> {
    const { cfg, member, sleep } = this.#ctx;
    const servers = this.#servers;
    if (!servers) return;
    log(`Entry "${cfg.instance}" drains`);
    // The balancer sees the readiness first, then new requests are refused.
    this.#drain.isDraining = true;
    await member.leave();
    await sleep(cfg.drain_ms);
    await servers.public.drain();
    await this.#shares.release();
    await this.#supervisor.stop();
    servers.metrics.close();
    await servers.internal.close();
    log(`Entry "${cfg.instance}" has stopped`);
  }

  async #startInternal(): Promise<InternalServer> {
    const { cfg, clock, limits, member } = this.#ctx;
    return await startInternalServer({
      ...splitAddress(cfg.internal_listen),
      secret: cfg.fleet_secret,
      wall: clock.wall,
      maxMessageBytes: MAX_MESSAGE_BYTES,
      routes: (router) =>
        addPeerService(router, {
          member,
          lend: (organisation, request) => limits.lend(organisation, request),
          closeLoan: (organisation, loanId, unused) =>
            limits.closeLoan(organisation, loanId, unused),
          status: () => ({
            shares: this.#readShares(),
            ledgers: [],
            reports: this.#ctx.router.reports().map(toWireReport),
            runningRequests: this.#servers?.public.running() ?? 0,
            duties: this.#placement.held ? ["placement"] : [],
          }),
        }),
    });
  }

  #readShares(): ShareStatus[] {
    const { member } = this.#ctx;
    const organisations = Object.keys(
      member.config.current?.document.limits ?? {},
    );
    const held = organisations.filter((name) => this.#shares.holds(name));
    return held.map((organisation) => {
      const share = this.#shares.share(organisation);
      return create(ShareStatusSchema, {
        organisation,
        levelTokens: Math.max(0, Math.floor(share.level)),
        capacityTokens: Math.floor(share.capacity),
        heldTokens: Math.ceil(share.held),
        lentTokens: Math.ceil(share.lent),
      });
    });
  }

  async #runShares(signal: AbortSignal): Promise<void> {
    const { sleep } = this.#ctx;
    while (!signal.aborted) {
      await this.#shares.tick();
      await sleep(SHARE_INTERVAL_MS, signal);
    }
  }

  /**
   * Keeps shares in use through an outage of the store, and ends keyed
   * requests once withdrawn keys can't be noticed any more.
   */
  async #watchFreshness(signal: AbortSignal): Promise<void> {
    const { member, clock, sleep, keys } = this.#ctx;
    while (!signal.aborted) {
      await sleep(FRESHNESS_INTERVAL_MS, signal);
      if (member.freshness === "storeDown") {
        this.#shares.confirmOutage(member.contactAt);
      }
      if (member.freshness !== "cutOff") {
        this.#cutOffSince = undefined;
        continue;
      }
      this.#cutOffSince ??= clock.now();
      if (clock.now() - this.#cutOffSince < CUT_OFF_GRACE_MS) continue;
      const message = "This entry can't check keys any more";
      keys.endAll(refuse("configuration_stale", message, { ran: "unknown" }));
    }
  }

  #refreshGauges(): void {
    const { member, metrics } = this.#ctx;
    metrics.configVersion.set(member.config.version);
    metrics.configAge.set(member.config.confirmedAgeMs / 1000);
  }
}
