import { create } from "@bufbuild/protobuf";
import {
  addPeerService,
  createDaemonBase,
  type DaemonBase,
  type DaemonEnvironment,
  FleetMember,
  MAX_MESSAGE_BYTES,
  type MetricsServer,
  startMetricsServer,
} from "@banyanspool/fleet";
import { createLog } from "@banyanspool/logger";
import { createCollectorRanking } from "@banyanspool/membership";
import {
  type AgentSettings,
  type EngineSettings,
  splitAddress,
} from "@banyanspool/settings";
import { Supervisor } from "@banyanspool/supervisor";
import {
  type InternalServer,
  type LedgerStatus,
  LedgerStatusSchema,
  startInternalServer,
  toWireReport,
} from "@banyanspool/wire";
import { addAgentService, type EngineComponents } from "./agent_service.ts";
import { AttemptManager } from "./attempt_manager.ts";
import { EngineClient } from "./engine_client.ts";
import { EngineManager } from "./engine_manager.ts";
import { EngineScheduler } from "./engine_scheduler.ts";
import { ReplicaReporter } from "./replica_reporter.ts";

const MAX_PENDING_DECISIONS = 5000;
const DRAIN_POLL_INTERVAL_MS = 50;
const PIN_TIMEOUT_MS = 1000;

const log = createLog("agent");

/** Options of {@link Agent.create}. */
export interface AgentOptions extends DaemonEnvironment {
  /** Settings read from the agent's TOML file. */
  readonly cfg: AgentSettings;
}

interface Engine extends EngineComponents {
  readonly slots: number;
  readonly memoryMib: number;
}

interface AgentContext extends DaemonBase {
  readonly cfg: AgentSettings;
  readonly member: () => FleetMember;
}

/**
 * Agent daemon: queues requests for one or more engines, manages the engines'
 * memory, and reports their state to the fleet.
 */
export class Agent {
  readonly #ctx: AgentContext;
  readonly #member: FleetMember;
  readonly #engines: ReadonlyMap<string, Engine>;
  readonly #reporter: ReplicaReporter;
  readonly #attempts: AttemptManager;
  readonly #supervisor: Supervisor;
  readonly #state: { isDraining: boolean };
  #servers: { internal: InternalServer; metrics: MetricsServer } | undefined;

  private constructor(
    ctx: AgentContext,
    parts: {
      member: FleetMember;
      engines: ReadonlyMap<string, Engine>;
      reporter: ReplicaReporter;
      attempts: AttemptManager;
      state: { isDraining: boolean };
    },
  ) {
    this.#ctx = ctx;
    this.#member = parts.member;
    this.#engines = parts.engines;
    this.#reporter = parts.reporter;
    this.#attempts = parts.attempts;
    this.#state = parts.state;
    const { sleep } = ctx;
    this.#supervisor = Supervisor.create({ name: "agent", sleep });
  }

  /** Creates an agent that is not started. */
  static async create(options: AgentOptions): Promise<Agent> {
    const { cfg } = options;
    const maxPendingDecisions = MAX_PENDING_DECISIONS;
    const base = createDaemonBase({ ...options, maxPendingDecisions });
    const { clock, sleep, incarnation } = base;
    const state = { isDraining: false };
    const ctx: AgentContext = { ...base, cfg, member: () => member };
    const engines = new Map(
      cfg.engines.map((engine) => [
        engine.replica,
        createEngine(ctx, engine),
      ]),
    );
    const reporter = ReplicaReporter.create({
      constantFields: {
        instance: cfg.instance,
        agentIncarnation: incarnation,
        address: cfg.internal_listen,
        dataCentre: cfg.data_centre,
        services: Object.keys(cfg.services),
      },
      engines,
      isDraining: () => state.isDraining,
    });
    const member: FleetMember = FleetMember.create({
      identity: {
        instance: cfg.instance,
        incarnation,
        role: "agent",
        dataCentre: cfg.data_centre,
        address: cfg.internal_listen,
      },
      ...base,
      ranking: await createCollectorRanking(),
      seeds: cfg.seeds,
      local: { reports: () => reporter.read(), demand: () => [] },
      onConfig: () => {},
      onReport: () => {},
      onReplicaGone: () => {},
    });
    const attempts = AttemptManager.create({
      clock,
      sleep,
      findScheduler: (replica) => engines.get(replica)?.scheduler,
      services: cfg.services,
      isDraining: () => state.isDraining,
    });
    return new Agent(ctx, {
      member,
      engines,
      reporter,
      attempts,
      state,
    });
  }

  /** Ports that the agent listens on. Valid once it has started. */
  get ports(): { internal: number; metrics: number } {
    const { internal, metrics } = this.#servers!;
    return { internal: internal.port, metrics: metrics.port };
  }

  /** Starts the servers and the supervised tasks. */
  async start(): Promise<void> {
    const { cfg, clock, metrics, decisions } = this.#ctx;
    this.#servers = {
      internal: await startInternalServer({
        ...splitAddress(cfg.internal_listen),
        secret: cfg.fleet_secret,
        wall: clock.wall,
        maxMessageBytes: MAX_MESSAGE_BYTES,
        routes: (router) => this.#addServices(router),
      }),
      metrics: await startMetricsServer({
        ...splitAddress(cfg.metrics_listen),
        metrics,
        refresh: () => this.#refreshGauges(),
      }),
    };
    await this.#member.readInstanceList();
    await this.#member.readStoredConfig();
    // Tasks stop in reverse order, so the decision log is flushed last.
    const start = (name: string, run: (signal: AbortSignal) => Promise<void>) =>
      this.#supervisor.start({ name, restart: "always", run });
    start("decisions", (signal) => decisions.run(signal));
    start("list", (signal) => this.#member.pollInstanceList(signal));
    start("sync", (signal) => this.#member.runSync(signal));
    for (const [replica, { engineManager, scheduler }] of this.#engines) {
      start(`inventory ${replica}`, (signal) => engineManager.run(signal));
      start(`queue ${replica}`, (signal) => scheduler.run(signal));
    }
    log(`Agent "${cfg.instance}" listens on ${cfg.internal_listen}`);
  }

  /** Drains and stops the agent; running requests end first. */
  async stop(): Promise<void> {
    const { cfg, sleep } = this.#ctx;
    const servers = this.#servers;
    if (!servers) return;
    log(`Agent "${cfg.instance}" is draining`);
    this.#state.isDraining = true;
    for (const { scheduler } of this.#engines.values()) {
      scheduler.startDraining();
    }
    await this.#member.announceDraining();
    await sleep(cfg.drain_ms);
    while (this.#attempts.running > 0) await sleep(DRAIN_POLL_INTERVAL_MS);
    await this.#supervisor.stop();
    servers.metrics.close();
    await servers.internal.close();
    log(`Agent "${cfg.instance}" has stopped`);
  }

  #addServices(router: Parameters<typeof addAgentService>[0]): void {
    const { clock, sleep, incarnation } = this.#ctx;
    addAgentService(router, {
      incarnation,
      attempts: this.#attempts,
      engines: this.#engines,
      sleep,
      now: clock.now,
    });
    addPeerService(router, {
      member: this.#member,
      lend: () => 0,
      closeLoan: () => {},
      status: () => ({
        shares: [],
        ledgers: this.#readLedgers(),
        reports: this.#reporter.read().map(toWireReport),
        runningRequests: this.#attempts.running,
        duties: [],
      }),
    });
  }

  #readLedgers(): LedgerStatus[] {
    return [...this.#engines].map((
      [replica, { engineManager, memoryMib }],
    ) =>
      create(LedgerStatusSchema, {
        replica,
        weightsMib: Math.ceil(engineManager.ledger.weightsMib),
        kvMib: Math.ceil(engineManager.ledger.kvMib),
        memoryMib,
        settled: engineManager.ledger.isSettled,
      })
    );
  }

  #refreshGauges(): void {
    const { metrics } = this.#ctx;
    metrics.configVersion.set(this.#member.config.version);
    metrics.configAge.set(this.#member.config.confirmedAgeMs / 1000);
    for (const [replica, { scheduler }] of this.#engines) {
      metrics.queueLength.set({ replica }, scheduler.queueLength);
    }
  }
}

function createEngine(ctx: AgentContext, engine: EngineSettings): Engine {
  const { clock, sleep, cfg, pool, metrics, decisions, incarnation } = ctx;
  const document = () => ctx.member().config.current?.document;
  const client = EngineClient.create({ url: engine.url });
  const engineManager: EngineManager = EngineManager.create({
    engine,
    client,
    clock,
    sleep,
    incarnation,
    orderLifetimeMs: cfg.order_lifetime_ms,
    document,
    countActive: (model) => scheduler.countActive(model),
    decisions,
    metrics,
    onInventory: () => {
      for (const id of engineManager.ledger.orphanSequenceIds()) {
        void client.cancel(id);
      }
    },
    pin: async ({ source, model }) => {
      const [address = "", replica = ""] = source.split("/");
      try {
        const options = { timeoutMs: PIN_TIMEOUT_MS };
        const client = pool.getConnection(address).agent;
        return (await client.pin({ model, replica }, options)).pinned;
      } catch (error) {
        log(`Pin request to "${address}" failed: ${(error as Error).message}`);
        return false;
      }
    },
  });
  const scheduler = EngineScheduler.create({
    engineManager,
    client,
    clock,
    sleep,
    slots: engine.slots,
    queuePolicy: "fair",
    weightOf: (organisation) =>
      document()?.organisations[organisation]?.weight ?? 1,
  });
  const { slots, memory_mib: memoryMib } = engine;
  return {
    engineManager,
    scheduler,
    slots,
    memoryMib,
  };
}
