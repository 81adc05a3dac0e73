import { create } from "@bufbuild/protobuf";
import { type Random, refuse } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import {
  addPeerService,
  type DaemonEnvironment,
  MAX_MESSAGE_BYTES,
  type MetricsServer,
  startMetricsServer,
} from "@banyanspool/fleet";
import type { ShareManager } from "@banyanspool/limits";
import { createLog } from "@banyanspool/logger";
import { type EntrySettings, splitAddress } from "@banyanspool/settings";
import { Supervisor } from "@banyanspool/supervisor";
import {
  type InternalServer,
  type ShareStatus,
  ShareStatusSchema,
  startInternalServer,
  toWireReport,
} from "@banyanspool/wire";
import type { EntryContext } from "./context.ts";
import { createEntryComponents } from "./entry_components.ts";
import type { PlacementController } from "./placement_controller.ts";
import { type PublicServer, startPublicServer } from "./public_server.ts";

const SHARE_TICK_INTERVAL_MS = 1500;
const FRESHNESS_CHECK_INTERVAL_MS = 500;
const CUT_OFF_GRACE_MS = 2000;
const MS_PER_S = 1000;

const log = createLog("entry");

/** Options of {@link Entry.create}. */
export interface EntryOptions extends DaemonEnvironment {
  /** Settings of the entry process. */
  readonly cfg: EntrySettings;
  /** Random source; `Math.random` by default. */
  readonly random?: Random;
}

interface Servers {
  readonly internal: InternalServer;
  readonly metrics: MetricsServer;
  readonly public: PublicServer;
}

/** The entry daemon: its components, servers and supervised tasks. */
export class Entry {
  readonly #ctx: EntryContext;
  readonly #shareManager: ShareManager;
  readonly #placementController: PlacementController;
  readonly #supervisor: Supervisor;
  readonly #drainState: { isDraining: boolean };
  #servers: Servers | undefined;
  #cutOffSince: number | undefined;

  private constructor(
    ctx: EntryContext,
    components: {
      shares: ShareManager;
      placementController: PlacementController;
      drain: { isDraining: boolean };
    },
  ) {
    this.#ctx = ctx;
    this.#shareManager = components.shares;
    this.#placementController = components.placementController;
    this.#drainState = components.drain;
    this.#supervisor = Supervisor.create({ name: "entry", sleep: ctx.sleep });
  }

  /** Creates an entry from its settings; {@link start} runs it. */
  static async create(options: EntryOptions): Promise<Entry> {
    const drain = { isDraining: false };
    const servers: { update?: (document: Document) => void } = {};
    const components = await createEntryComponents({
      ...options,
      isDraining: () => drain.isDraining,
      onDocument: (document) => servers.update?.(document),
    });
    const entry = new Entry(components.ctx, { ...components, drain });
    servers.update = (document) =>
      entry.#servers?.public.updateRoutes(document);
    return entry;
  }

  /** Ports that the entry listens on; only valid after {@link start}. */
  get ports(): { public: number; internal: number; metrics: number } {
    const servers = this.#servers!;
    return {
      public: servers.public.port,
      internal: servers.internal.port,
      metrics: servers.metrics.port,
    };
  }

  /** Starts the servers and the background tasks. */
  async start(): Promise<void> {
    const { cfg, member, decisions } = this.#ctx;
    const internal = await this.#startInternal();
    const metrics = await startMetricsServer({
      ...splitAddress(cfg.metrics_listen),
      metrics: this.#ctx.metrics,
      refresh: () => this.#refreshGauges(),
    });
    await member.readInstanceList();
    await member.readStoredConfig();
    this.#servers = {
      internal,
      metrics,
      public: await startPublicServer(this.#ctx),
    };
    const { current } = member.config;
    if (current) this.#servers.public.updateRoutes(current.document);
    // Tasks stop in reverse order, so that decisions are written last.
    const always = "always" as const;
    const start = (name: string, run: (signal: AbortSignal) => Promise<void>) =>
      this.#supervisor.start({ name, restart: always, run });
    start("decisions", (signal) => decisions.run(signal));
    start("list", (signal) => member.pollInstanceList(signal));
    start("sync", (signal) => member.runSync(signal));
    start("shares", (signal) => this.#runShareManager(signal));
    start("freshness", (signal) => this.#watchFreshness(signal));
    start("placement", (signal) => this.#placementController.run(signal));
    log(`Entry "${cfg.instance}" listens on ${cfg.public_listen}`);
  }

  /** Shuts down gracefully: drains in-flight requests, then stops all tasks. */
  async stop(): Promise<void> {
    const { cfg, member, sleep } = this.#ctx;
    const servers = this.#servers;
    if (!servers) return;
    log(`Entry "${cfg.instance}" is draining`);
    // Fail readiness first and wait, so that the load balancer stops sending
    // requests before the listener closes. New requests are refused meanwhile.
    this.#drainState.isDraining = true;
    await member.announceDraining();
    await sleep(cfg.drain_ms);
    await servers.public.drain();
    await this.#shareManager.release();
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
            shares: this.#listShareStatus(),
            ledgers: [],
            reports: this.#ctx.router.reports().map(toWireReport),
            runningRequests: this.#servers?.public.runningRequests() ?? 0,
            duties: this.#placementController.isLeaseHolder
              ? ["placement"]
              : [],
          }),
        }),
    });
  }

  #listShareStatus(): ShareStatus[] {
    const { member } = this.#ctx;
    const organisations = Object.keys(
      member.config.current?.document.limits ?? {},
    );
    const organisationsWithShare = organisations.filter((name) =>
      this.#shareManager.hasShare(name)
    );
    return organisationsWithShare.map((organisation) => {
      const share = this.#shareManager.share(organisation);
      return create(ShareStatusSchema, {
        organisation,
        levelTokens: Math.max(0, Math.floor(share.level)),
        capacityTokens: Math.floor(share.capacity),
        heldTokens: Math.ceil(share.reserved),
        lentTokens: Math.ceil(share.lent),
      });
    });
  }

  async #runShareManager(signal: AbortSignal): Promise<void> {
    const { sleep } = this.#ctx;
    while (!signal.aborted) {
      await this.#shareManager.tick();
      await sleep(SHARE_TICK_INTERVAL_MS, signal);
    }
  }

  /**
   * Keeps limit shares usable during a store outage, and aborts authenticated
   * requests once the entry has been cut off too long to detect withdrawn keys.
   */
  async #watchFreshness(signal: AbortSignal): Promise<void> {
    const { member, clock, sleep, keys } = this.#ctx;
    while (!signal.aborted) {
      await sleep(FRESHNESS_CHECK_INTERVAL_MS, signal);
      if (member.freshness === "storeDown") {
        this.#shareManager.extendLeaseDuringOutage(member.lastContactAt);
      }
      if (member.freshness !== "cutOff") {
        this.#cutOffSince = undefined;
        continue;
      }
      this.#cutOffSince ??= clock.now();
      if (clock.now() - this.#cutOffSince < CUT_OFF_GRACE_MS) continue;
      const message = "This entry can't check keys any more";
      keys.abortAll(refuse("configuration_stale", message, { ran: "unknown" }));
    }
  }

  #refreshGauges(): void {
    const { member, metrics } = this.#ctx;
    metrics.configVersion.set(member.config.version);
    metrics.configAge.set(member.config.confirmedAgeMs / MS_PER_S);
  }
}
