import { createEventLog, type EventLog } from "@banyanspool/logger";
import { Lease } from "@banyanspool/platform";
import {
  createTableStore,
  StoreClient,
  StoreConnections,
} from "@banyanspool/platform-adapter";
import { type GatewaySettings, splitAddress } from "@banyanspool/settings";
import { Supervisor } from "@banyanspool/supervisor";
import {
  createSuspendAwareClock,
  createSystemClock,
  incarnationOf,
  sleep,
} from "@banyanspool/types";
import { callerLimits } from "./caller_limits.ts";
import { ChangeSignal } from "./change_signal.ts";
import { ConfigurationFreshness } from "./configuration_freshness.ts";
import { watchConfiguration } from "./configuration_watch.ts";
import type { GatewayContext } from "./context.ts";
import { createContext } from "./create_context.ts";
import { buildEvacuationReport } from "./evacuation/evacuation_status.ts";
import { applyEvacuationRows } from "./evacuation/evacuation_rows.ts";
import { EngineController } from "./engine_controller.ts";
import { FleetState } from "./fleet_state.ts";
import { FleetExchange } from "./fleet_exchange.ts";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { SharedReadSchedule } from "./shared_read_schedule.ts";
import { KnownMembers } from "./known_members.ts";
import { leaveMembership, maintainMembership } from "./member_table.ts";
import { PlacementController } from "./placement_controller.ts";
import { PublicServer } from "./public_server.ts";
import { recordReplicaNotices } from "./replica_notices.ts";
import { RecoveryTable } from "./recovery_table.ts";
import { ReplicaRegistry } from "./replica_registry.ts";
import { watchReplicas } from "./replica_watch.ts";
import {
  startMetricsServer,
  startReadinessServer,
  type StatusServer,
} from "./status_servers.ts";
import { WaitingRoom } from "./waiting_room.ts";

/** Options of {@link Gateway.create}. */
export interface GatewayOptions {
  /** Checked settings. */
  readonly cfg: GatewaySettings;
  /** Structured log; standard output if absent. */
  readonly log?: EventLog;
}

/** Table of the placement lease. */
const LEASE_TABLE = "banyanspool_duties";
const PLACEMENT_LEASE = "placement";
/** Renewals in one lease time. */
const RENEWALS_PER_LEASE = 4;
/** Share of the lease time for which a renewal is valid to the holder. */
const VALIDITY_SHARE = 0.6;
/** Share of the lease time after which a lease not renewed is taken over. */
const TAKEOVER_SHARE = 0.85;
/** Connections for a long-polling call and a few short ones. */
const STORE_CONNECTIONS = 6;
/**
 * Time from the start of a graceful stop until the load balancer sends no more
 * connections.
 */
const BALANCER_REMOVAL_MS = 2600;
/** Time kept free before the process is killed at the end of its grace time. */
const STOP_RESERVE_MS = 500;
/** Time to write the final responses of aborted requests. */
const FINAL_RESPONSES_MS = 100;
const STOP_POLL_MS = 50;

/** A gateway: creates, starts and stops its servers and tasks. */
export class Gateway {
  readonly #cfg: GatewaySettings;
  readonly #ctx: GatewayContext;
  readonly #supervisor: Supervisor;
  readonly #publicServer: PublicServer;
  readonly #store: StoreClient;
  readonly #storeConnections: StoreConnections;
  readonly #lease: Lease;
  readonly #placementController: PlacementController;
  readonly #exchange: FleetExchange;
  readonly #registry: ReplicaRegistry;
  readonly #recoveryTable: RecoveryTable;
  readonly #readSchedule: SharedReadSchedule;
  readonly #freshness: ConfigurationFreshness;
  readonly #restoredSignal: ChangeSignal = ChangeSignal.create();
  readonly #strangerSignal: ChangeSignal = ChangeSignal.create();
  readonly #knownMembers: KnownMembers;
  #isMembershipKnown = false;
  readonly #servers: StatusServer[] = [];
  #isClosed = false;

  private constructor(cfg: GatewaySettings, log: EventLog) {
    this.#cfg = cfg;
    const clock = createSystemClock();
    const metrics = GatewayMetrics.create();
    this.#storeConnections = StoreConnections.create({
      address: cfg.store_address,
      connections: STORE_CONNECTIONS,
    });
    this.#store = StoreClient.create({
      address: cfg.store_address,
      connections: this.#storeConnections,
      onCall: (call, outcome) => metrics.storeCalls.inc({ call, outcome }),
      onRestored: (epoch) => {
        log.write("store restored", { epoch });
        this.#freshness.recordEpoch(epoch);
        this.#restoredSignal.notify();
      },
    });
    const fleet = FleetState.create({ clock });
    this.#freshness = ConfigurationFreshness.create({
      clock,
      random: Math.random,
      liveCount: () => this.#exchange.liveCount,
      version: () => fleet.version,
    });
    const host = splitAddress(cfg.peer_listen).host;
    this.#lease = Lease.create({
      table: createTableStore(this.#store, LEASE_TABLE),
      key: PLACEMENT_LEASE,
      holder: `${cfg.instance}@${host}`,
      durationMs: cfg.lease_ms * VALIDITY_SHARE,
      takeoverMs: cfg.lease_ms * TAKEOVER_SHARE,
      clock: createSuspendAwareClock(),
      rivalClock: clock,
      isFirstStart: cfg.first_start,
    });
    this.#knownMembers = KnownMembers.create({
      instance: cfg.instance,
      host,
      isResponsive: (instance) => this.#exchange.isResponsive(instance),
    });
    this.#ctx = createContext({
      knowsOthers: () => this.#knownMembers.hasHeardAll,
      cfg,
      clock,
      log,
      metrics,
      fleet,
      liveCount: () => this.#exchange.liveCount,
      liveGateways: () => this.#exchange.liveGateways,
      sendStreamMessage: (instance, message) =>
        this.#exchange.sendStreamMessage(instance, message),
      isServing: ({ id, startedAt }) =>
        this.#registry.replicas.some((listed) =>
          listed.id === id && listed.startedAt === startedAt &&
          !listed.draining
        ),
      markLeaving: (server) => {
        if (!this.#registry.markLeaving(incarnationOf(server))) return;
        this.#applyReplicaList();
        this.#exchange.announceSoon();
      },
      isResponsive: (instance) => this.#exchange.isResponsive(instance),
      reachableShare: () => this.#exchange.reachableShare,
      sendPermitMessage: (instance, message) =>
        this.#exchange.sendPermitMessage(instance, message),
      recalled: () => this.#recoveryTable.recalled,
      onNews: () => this.#exchange.announceSoon(),
    });
    const waitingRoom = WaitingRoom.of(this.#ctx);
    metrics.countWaitingRequests(() => waitingRoom.countByService());
    this.#recoveryTable = RecoveryTable.create({
      store: this.#store,
      ctx: this.#ctx,
      instance: cfg.instance,
      isFirstStart: cfg.first_start,
      liveCount: () => this.#exchange.liveCount,
      restoredSignal: this.#restoredSignal,
      sleep,
      log,
    });
    const engineController = EngineController.create({
      lease: this.#lease,
      holder: cfg.instance,
      clock,
      sleep,
      pools: this.#ctx.pools,
      awaitPermit: async (server) => {
        const replica = incarnationOf(server);
        await this.#ctx.replicaPauses.wait(replica);
        // Orders and reads count toward a limit that the replica names only.
        if (this.#ctx.replicaLimits.get(replica) === undefined) return;
        await this.#ctx.replicaPermits.wait(replica);
      },
      onNotices: (server, notices) =>
        recordReplicaNotices(this.#ctx, server, notices),
      onAvailableModelsChange: () => this.#exchange.publishAvailableModels(),
      log,
      metrics,
    });
    this.#placementController = PlacementController.create({
      engineController,
      clock,
      sleep,
      fleet,
      replicaTracker: this.#ctx.replicaTracker,
      demand: () => this.#exchange.fleetDemand(),
      hasFleetDemand: () => this.#exchange.hasFleetDemand(),
      streamNeeds: () => this.#exchange.streamNeeds(),
      isLimited: (server) => {
        const replica = incarnationOf(server);
        return this.#ctx.replicaLimits.get(replica) !== undefined ||
          this.#ctx.replicaPauses.remainingMs(replica) > 0;
      },
      isEvacuated: (dataCentre) =>
        this.#ctx.evacuations.isEvacuated(dataCentre),
      log,
    });
    this.#registry = ReplicaRegistry.create({
      log,
      onChange: (change) => this.#exchange.publishReplicaChange(change),
    });
    this.#readSchedule = SharedReadSchedule.create({
      clock,
      random: Math.random,
      liveCount: () => this.#exchange.liveCount,
    });
    this.#exchange = FleetExchange.create({
      cfg,
      ctx: this.#ctx,
      engineController,
      lease: this.#lease,
      registry: this.#registry,
      readSchedule: this.#readSchedule,
      expectedLoads: () => this.#placementController.expectedLoads(),
      onReplicaChange: () => this.#applyReplicaList(),
      freshness: this.#freshness,
      onStranger: () => this.#strangerSignal.notify(),
      isMembershipKnown: () => this.#isMembershipKnown,
    });
    this.#publicServer = PublicServer.create(this.#ctx, callerLimits(cfg));
    this.#supervisor = Supervisor.create({
      name: "gateway",
      sleep,
      onTaskError: (task, detail) => log.write("task failed", { task, detail }),
    });
  }

  /** Creates a gateway that is not started. */
  static create({ cfg, log }: GatewayOptions): Promise<Gateway> {
    const eventLog = log ?? createEventLog({
      instance: cfg.instance,
      maxLinesPerS: cfg.log_lines_per_s,
    });
    return Promise.resolve(new Gateway(cfg, eventLog));
  }

  /** Starts servers and tasks; rejects if an address can't be bound. */
  async start(): Promise<void> {
    const { log, metrics } = this.#ctx;
    const cfg = this.#cfg;
    log.write("start", { data_centre: cfg.data_centre, pid: process.pid });
    await this.#exchange.listen();
    this.#startTasks();
    this.#servers.push(
      await startReadinessServer(cfg.readiness_listen, {
        isReady: () => this.#isReady,
        maxConnections: cfg.status_max_connections,
        metrics,
      }),
      await startMetricsServer(cfg.metrics_listen, {
        maxConnections: cfg.status_max_connections,
        metrics,
        log,
        clock: this.#ctx.clock,
        evacuationReport: () =>
          buildEvacuationReport(this.#ctx, {
            instance: cfg.instance,
            liveGateways: this.#exchange.liveGateways
              .map(({ instance }) => instance),
          }),
      }),
    );
    const { host, port } = splitAddress(cfg.public_listen);
    await this.#publicServer.listen(host, port);
  }

  /**
   * Stops gracefully: fails the readiness check, completes requests in flight
   * within the grace time, then closes everything.
   */
  async stop(): Promise<void> {
    const { log, fleet, clock } = this.#ctx;
    const startedAt = clock.now();
    const endAt = startedAt + this.#cfg.grace_ms - STOP_RESERVE_MS;
    fleet.isStopping = true;
    log.write("stop", { in_flight: this.#publicServer.inFlight });
    this.#exchange.announce();
    await Promise.race([
      Promise.all([
        this.#lease.release(),
        leaveMembership({
          store: this.#store,
          instance: this.#cfg.instance,
        }),
      ]),
      sleep(BALANCER_REMOVAL_MS),
    ]);
    await sleep(Math.max(0, startedAt + BALANCER_REMOVAL_MS - clock.now()));
    await this.#publicServer.acceptWaiting();
    this.#publicServer.stopAccepting();
    while (this.#publicServer.inFlight > 0 && clock.now() < endAt) {
      await sleep(STOP_POLL_MS);
    }
    log.write("stopped", { in_flight: this.#publicServer.inFlight });
    this.#publicServer.abortAll();
    await sleep(FINAL_RESPONSES_MS);
    await this.closeNow();
    log.flush();
  }

  /** Stops all tasks and closes all connections without draining. */
  async closeNow(): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    // Long-polling calls to the store end with their connections.
    await this.#storeConnections.destroy();
    this.#publicServer.stopAccepting();
    this.#publicServer.closeAllConnections();
    for (const server of this.#servers) {
      server.close();
    }
    await this.#supervisor.stop();
    this.#exchange.close();
    this.#ctx.pools.closeAllExcept([]);
  }

  /** Logs that a reload was requested; the settings are not read again. */
  reload(): void {
    // Settings are read only at the start of a process.
    this.#ctx.log.write("reload", {});
  }

  #startTasks(): void {
    const { fleet, clock, log } = this.#ctx;
    const store = this.#store;
    const cfg = this.#cfg;
    this.#supervisor.start({
      name: "configuration",
      restart: "always",
      run: (signal) =>
        watchConfiguration({
          store,
          fleet,
          sleep,
          freshness: this.#freshness,
          onRows: (rows, origin) => {
            const isNew = applyEvacuationRows(rows, {
              evacuations: this.#ctx.evacuations,
              isWholeTable: origin === "read",
              log,
            });
            // The calls that wait for changes are late, here or everywhere.
            if (isNew && origin !== "wait") this.#exchange.announceSoon();
          },
          clock,
          random: Math.random,
          log,
          onAccepted: ({ limits, version }, origin) => {
            this.#publicServer.applyLimits(limits);
            this.#ctx.coldReplicas.recordConfiguration();
            this.#ctx.metrics.configurationVersion.set(version);
            // The calls that wait for changes are late, here or everywhere.
            if (origin === "check") this.#exchange.announceSoon();
          },
        }, signal),
    });
    this.#supervisor.start({
      name: "servers",
      restart: "always",
      run: (signal) =>
        watchReplicas({
          store,
          registry: this.#registry,
          readSchedule: this.#readSchedule,
          clock,
          sleep,
          random: Math.random,
          log,
          onRead: () => {
            fleet.hasReplicaList = true;
            this.#ctx.replicaTracker.recordListRead();
            this.#applyReplicaList();
            this.#ctx.versionHistory.confirm({ ageMs: 0 });
          },
        }, signal),
    });
    this.#supervisor.start({
      name: "members",
      restart: "always",
      run: (signal) =>
        maintainMembership({
          store,
          instance: cfg.instance,
          host: splitAddress(cfg.peer_listen).host,
          isStopping: () => fleet.isStopping,
          restoredSignal: this.#restoredSignal,
          strangerSignal: this.#strangerSignal,
          onRead: (hosts) => {
            this.#isMembershipKnown = hosts !== undefined;
            if (hosts) this.#knownMembers.recordRead(hosts);
          },
          log,
          onMember: (instance, host) => this.#exchange.addPeer(instance, host),
        }, signal),
    });
    this.#supervisor.start({
      name: "recovery",
      restart: "always",
      run: (signal) => this.#recoveryTable.run(signal),
    });
    this.#supervisor.start({
      name: "peers",
      restart: "always",
      run: (signal) => this.#exchange.run(signal),
    });
    this.#supervisor.start({
      name: "lease",
      restart: "always",
      run: (signal) => this.#maintainLease(signal),
    });
    this.#supervisor.start({
      name: "placement",
      restart: "always",
      run: (signal) => this.#placementController.run(signal),
    });
  }

  async #maintainLease(signal: AbortSignal): Promise<void> {
    const { fleet } = this.#ctx;
    let isReleased = false;
    while (!signal.aborted) {
      if (fleet.isStopping) {
        // The store may be away when the stop begins.
        isReleased ||= await this.#lease.release();
      } else if (this.#exchange.mayHoldLease()) {
        const { held, term } = this.#lease;
        await this.#lease.renew();
        // The lease may have lapsed and been regained during the renewal.
        const isNewTerm = this.#lease.term !== term;
        if (isNewTerm || this.#lease.held !== held) fleet.changed.notify();
      }
      await sleep(this.#cfg.lease_ms / RENEWALS_PER_LEASE, signal)
        .catch(() => {});
    }
  }

  #applyReplicaList(): void {
    const { replicaTracker, versionHistory, pools, fleet } = this.#ctx;
    const { replicas } = this.#registry;
    const incarnations = new Set(replicas.map(incarnationOf));
    this.#ctx.coldReplicas.update(replicas);
    this.#ctx.replicaLimits.retain(incarnations);
    this.#ctx.replicaPermits.retain(incarnations);
    this.#ctx.replicaPauses.retain(incarnations);
    replicaTracker.updateServers(replicas);
    versionHistory.update(replicas);
    pools.closeAllExcept(replicas);
    fleet.changed.notify();
  }

  get #isReady(): boolean {
    const { fleet } = this.#ctx;
    return fleet.activeConfiguration !== undefined && fleet.hasReplicaList &&
      !fleet.isStopping;
  }
}
