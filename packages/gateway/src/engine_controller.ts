import type { EventLog } from "@banyanspool/logger";
import type { Lease } from "@banyanspool/platform";
import {
  type EngineCallOptions,
  type EngineReport,
  type OrderOutcome,
  readEngineReport,
  sendEngineOrder,
} from "@banyanspool/platform-adapter";
import type { BackendServer, Clock, Result, Sleep } from "@banyanspool/types";
import type { ConnectionPools } from "./connection_pools.ts";
import {
  applyReport,
  createEngineState,
  type EngineState,
  listAvailableNames,
} from "./engine_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { ReplicaNotices } from "./replica_notices.ts";

/** Options of {@link EngineController.create}. */
export interface EngineControllerOptions {
  /** Placement lease; orders are sent only while this process holds it. */
  readonly lease: Lease;
  /** Name of this process, sent with each order. */
  readonly holder: string;
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Connections to replicas. */
  readonly pools: ConnectionPools;
  /** Waits until a call may be sent to a replica that limits or pauses them. */
  readonly awaitPermit: (server: BackendServer) => Promise<void>;
  /** Called with what the head of a response tells of its replica. */
  readonly onNotices: (server: BackendServer, notices: ReplicaNotices) => void;
  /** Called when the names available at any replica may have changed. */
  readonly onAvailableModelsChange: () => void;
  /** Structured log. */
  readonly log: EventLog;
  /** Metrics. */
  readonly metrics: GatewayMetrics;
}

/** An order to load or unload one model or adapter. */
export interface PlacementOrder {
  readonly operation: "load" | "unload";
  /** Model name. */
  readonly model: string;
  /** Adapter of that model; undefined if the order is for the model itself. */
  readonly adapter?: string;
}

/**
 * Reports are a few hundred ms old; after this time, in ms, a report includes
 * the effect of an order.
 */
const REPORT_LAG_MS = 350;
/** Consecutive failed report reads after which an engine counts as lost. */
const MISSING_REPORTS_UNTIL_LOST = 2;
/** Consecutive reports that are skipped as older than an accepted order. */
const MAX_OUTDATED_REPORTS = 3;
/** Minimum time between two report reads of a suspected replica, in ms. */
const SUSPECT_CHECK_INTERVAL_MS = 1000;
/** Interval of report reads while an order is being carried out, in ms. */
const REPORT_POLL_INTERVAL_MS = 100;
/**
 * Maximum number of repeats of an order that gets no response. With half of all
 * responses lost, the outcome of one order in sixteen is still unknown after
 * the repeats and has to be read from a report.
 */
const MAX_REPEATS = 3;
/** Time after a refused order without further ones, in ms; doubled for each. */
const REFUSAL_PAUSE_MS = 500;
const MAX_REFUSAL_PAUSE_MS = 4000;
/** Time within which a report must show the effect of an order, in ms. */
const ORDER_EFFECT_TIMEOUT_MS = 12_000;

/**
 * Sends orders to engines and stores the last known state of each. Orders to
 * one replica are sent one at a time, each with the number of orders that the
 * replica has accepted so far, so that the replica rejects a delayed order.
 */
export class EngineController {
  readonly #options: EngineControllerOptions;
  readonly #engines: Map<string, EngineState> = new Map();
  /**
   * When the last order that may have been accepted ended, by replica, in ms.
   * Kept across terms: a new state doesn't know the count of accepted orders.
   */
  readonly #orderedAt: Map<string, number> = new Map();
  #version = 0;
  /** Term of the lease in which the replicas were last followed. */
  #followedTerm: number | undefined;

  private constructor(options: EngineControllerOptions) {
    this.#options = options;
  }

  /** Creates a controller without engines; see {@link EngineController.follow}. */
  static create(options: EngineControllerOptions): EngineController {
    return new EngineController(options);
  }

  /** Whether this process holds the placement lease, so may send orders. */
  get holdsLease(): boolean {
    return this.#options.lease.held;
  }

  /** Term of the placement lease; another process may act between two terms. */
  get leaseTerm(): number {
    return this.#options.lease.term;
  }

  /** Increases with each possible change of the available names. */
  get version(): number {
    return this.#version;
  }

  /**
   * Models and adapters available at each replica with a current report.
   * Undefined if the lease isn't held, and until the replicas are followed in its
   * present term: what other gateways know of them still counts.
   */
  listAvailableModels():
    | { server: BackendServer; names: string[] }[]
    | undefined {
    if (!this.holdsLease || this.#followedTerm !== this.leaseTerm) return;
    return [...this.#engines.values()]
      .filter(({ isSynced }) => isSynced)
      .map((state) => ({
        server: state.server,
        names: listAvailableNames(state),
      }));
  }

  /** Replicas whose report has to be read before their models are known. */
  listUnsettledReplicas(): Set<string> {
    const unsettled = new Set<string>();
    for (const [id, { isSynced, isLost }] of this.#engines) {
      if (!isSynced && !isLost) unsettled.add(id);
    }
    return unsettled;
  }

  /** State of a replica's engine; undefined if the replica isn't followed. */
  get(replica: string): EngineState | undefined {
    return this.#engines.get(replica);
  }

  /** Discards the engines' state, as another process may have sent orders meanwhile. */
  clear(): void {
    this.#engines.clear();
    this.#followedTerm = undefined;
  }

  /** Adds or updates the given replicas and removes all others. */
  follow(servers: ReadonlyMap<string, BackendServer>): void {
    this.#followedTerm = this.leaseTerm;
    for (const server of servers.values()) this.#followOne(server);
    for (const id of this.#engines.keys()) {
      if (!servers.has(id)) this.#engines.delete(id);
    }
    const now = this.#options.clock.now();
    for (const [id, orderedAt] of this.#orderedAt) {
      if (now - orderedAt >= REPORT_LAG_MS) this.#orderedAt.delete(id);
    }
  }

  /**
   * Reads the report of a replica at which requests failed at any gateway. The
   * replica list keeps a crashed replica for several heartbeats; the report
   * shows sooner that its models are gone.
   */
  checkSuspected(replica: string): void {
    const state = this.#engines.get(replica);
    if (!state?.isSynced || state.queuedTasks > 0) return;
    const now = this.#options.clock.now();
    if (now - state.reportRequestedAt < SUSPECT_CHECK_INTERVAL_MS) return;
    state.reportRequestedAt = now;
    this.enqueue(state, () => this.#sync(state));
  }

  #followOne(server: BackendServer): void {
    const known = this.#engines.get(server.id);
    if (known?.server.startedAt !== server.startedAt) {
      const state = createEngineState(server, this.#options.clock.now());
      this.#engines.set(server.id, state);
      this.enqueue(state, () => this.#sync(state));
      return;
    }
    known.server = server;
    if (!known.isSynced && known.queuedTasks === 0) {
      this.enqueue(known, () => this.#sync(known));
    }
    // An order of the previous lease holder may still be in progress; the
    // report shows what it loads only once it has ended.
    if (known.isSynced && known.isBusy && known.queuedTasks === 0) {
      this.enqueue(known, () => this.resync(known));
    }
  }

  /**
   * Sends an order while the lease is held, and repeats it while its outcome is
   * unknown. All repeats carry the same number of accepted orders, so the
   * replica accepts at most one of them, however late they arrive.
   */
  async order(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    const outcome = await this.#sendOrder(state, order);
    this.#learnFromOrder(state, outcome);
    return outcome;
  }

  /**
   * Sends an order once the engine has carried out the one before, which it
   * rejects others during. A refused order isn't repeated before a report shows
   * that the engine is idle, and not at all if it has accepted other orders.
   */
  async orderWhenIdle(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    const outcome = await this.#sendOrderWhenIdle(state, order);
    this.#learnFromOrder(state, outcome);
    return outcome;
  }

  async #sendOrderWhenIdle(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    const deadlineAt = this.#options.clock.now() + ORDER_EFFECT_TIMEOUT_MS;
    for (let afterMs = 0;; afterMs = REPORT_LAG_MS) {
      const outcome = await this.#sendOrder(state, order);
      if (outcome !== "conflict") return outcome;
      // The first report that shows an idle engine may be from before.
      await this.#options.sleep(afterMs);
      if (!await this.#awaitIdle(state, deadlineAt)) return outcome;
    }
  }

  /**
   * Whether a report shows in time that the engine is idle and takes orders. It
   * doesn't if it has started again, or if the count here is wrong: lower than
   * in a report, or higher than in several that include all earlier orders.
   */
  async #awaitIdle(state: EngineState, deadlineAt: number): Promise<boolean> {
    const { clock, sleep } = this.#options;
    const currentFrom = clock.now() + REPORT_LAG_MS;
    let outdated = 0;
    while (
      this.holdsLease && clock.now() < deadlineAt && this.#isCurrent(state)
    ) {
      await sleep(REPORT_POLL_INTERVAL_MS);
      const requestedAt = clock.now();
      const read = await this.#readReport(state);
      if (!read.ok) continue;
      const { busy, startedAt, acceptedOrderCount } = read.value;
      if (startedAt !== state.server.startedAt) return false;
      if (busy) continue;
      if (acceptedOrderCount === state.acceptedOrderCount) return true;
      if (acceptedOrderCount > state.acceptedOrderCount) return false;
      if (requestedAt < currentFrom) continue;
      outdated += 1;
      if (outdated >= MAX_OUTDATED_REPORTS) return false;
    }
    return false;
  }

  async #sendOrder(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    for (let repeats = 0;; repeats += 1) {
      const outcome = await this.#sendOrderOnce(state, order);
      if (outcome !== "unknown" || repeats === MAX_REPEATS) return outcome;
    }
  }

  async #sendOrderOnce(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    const { lease, holder, clock, log, metrics, awaitPermit } = this.#options;
    await awaitPermit(state.server);
    if (!lease.held || !this.#isCurrent(state)) return "lease lost";
    const { fencingToken } = lease;
    const expectedOrders = state.acceptedOrderCount;
    const outcome = await sendEngineOrder(state.server, {
      ...order,
      expectedOrderCount: expectedOrders,
      holder,
      fencingToken,
    }, this.#callOptions(state.server));
    if (isAccepted(outcome)) state.acceptedOrderCount += 1;
    if (isAccepted(outcome) || outcome === "unknown") {
      this.#orderedAt.set(state.server.id, clock.now());
    }
    metrics.orders.inc({ operation: order.operation, outcome });
    log.write("engine order", {
      replica: state.server.id,
      ...order,
      expected_orders: expectedOrders,
      fencing_token: fencingToken,
      outcome,
    });
    return outcome;
  }

  /** Puts off plans for an engine that refuses orders or doesn't answer them. */
  #learnFromOrder(
    state: EngineState,
    outcome: OrderOutcome | "lease lost",
  ): void {
    const { clock, log, metrics } = this.#options;
    if (outcome === "lease lost") return;
    if (isAccepted(outcome)) {
      state.refusals = 0;
      state.refusedUntil = -Infinity;
      return;
    }
    const pauseMs = Math.min(
      MAX_REFUSAL_PAUSE_MS,
      REFUSAL_PAUSE_MS * 2 ** state.refusals,
    );
    state.refusals += 1;
    state.refusedUntil = clock.now() + pauseMs;
    metrics.enginePauses.inc({ outcome });
    log.write("engine put off", {
      replica: state.server.id,
      outcome,
      refusals: state.refusals,
      pause_ms: pauseMs,
    });
  }

  /** Reads the report after a delay, so that it includes earlier orders. */
  async resync(state: EngineState): Promise<void> {
    await this.#options.sleep(REPORT_LAG_MS);
    await this.#sync(state);
  }

  /**
   * Reads reports until one shows that the engine is idle after the last
   * accepted order. Returns whether the condition then holds; false as well if
   * no such report arrived in time or the lease was lost.
   */
  async awaitEffect(
    state: EngineState,
    isDone: () => boolean,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const deadlineAt = clock.now() + ORDER_EFFECT_TIMEOUT_MS;
    const acceptedOrders = state.acceptedOrderCount;
    while (
      this.holdsLease && clock.now() < deadlineAt && this.#isCurrent(state)
    ) {
      await this.#options.sleep(REPORT_POLL_INTERVAL_MS);
      const read = await this.#readReport(state);
      // The read failed, or the report is from before the last accepted order.
      if (!read.ok || read.value.acceptedOrderCount < acceptedOrders) continue;
      if (read.value.busy) continue;
      applyReport(state, read.value);
      this.notifyAvailableModelsChange();
      return isDone();
    }
    // What the order has done is unknown, so nothing is planned for the engine
    // until its report has been read again.
    state.isSynced = false;
    return false;
  }

  /** Runs a task after all tasks already queued for the replica. */
  enqueue(state: EngineState, task: () => Promise<void>): void {
    state.queuedTasks += 1;
    state.lastTask = state.lastTask.then(task).catch((error) => {
      this.#options.log.write("engine task failed", { error: String(error) });
    }).finally(() => {
      state.queuedTasks -= 1;
    });
  }

  /** Increases the version and reports that availability may have changed. */
  notifyAvailableModelsChange(): void {
    this.#version += 1;
    this.#options.onAvailableModelsChange();
  }

  async #readReport(
    { server }: EngineState,
  ): Promise<Result<EngineReport, string>> {
    const { metrics, awaitPermit } = this.#options;
    await awaitPermit(server);
    const read = await readEngineReport(server, this.#callOptions(server));
    metrics.reportReads.inc({ outcome: read.ok ? "ok" : "failed" });
    return read;
  }

  async #sync(state: EngineState): Promise<void> {
    const { log, sleep, clock } = this.#options;
    let missing = 0;
    let outdated = 0;
    while (this.holdsLease && this.#isCurrent(state)) {
      const orderedAt = this.#orderedAt.get(state.server.id) ?? -Infinity;
      const waitMs = orderedAt + REPORT_LAG_MS - clock.now();
      if (waitMs > 0) {
        await sleep(waitMs);
        continue;
      }
      state.reportRequestedAt = clock.now();
      const read = await this.#readReport(state);
      if (read.ok) {
        // After some time the report is right and the count here is wrong.
        if (
          isOutdated(read.value, state) && outdated < MAX_OUTDATED_REPORTS
        ) {
          outdated += 1;
          await sleep(REPORT_LAG_MS);
          continue;
        }
        applyReport(state, read.value);
        this.notifyAvailableModelsChange();
        return;
      }
      missing += 1;
      const isLost = !state.isLost && missing >= MISSING_REPORTS_UNTIL_LOST;
      log.write("engine report missing", {
        replica: state.server.id,
        missing,
        lost: isLost || undefined,
        detail: read.error,
      });
      if (isLost) {
        state.isSynced = false;
        state.isLost = true;
        this.notifyAvailableModelsChange();
      }
      await sleep(REPORT_LAG_MS);
    }
  }

  #callOptions(server: BackendServer): EngineCallOptions {
    const { pools, clock, onNotices } = this.#options;
    const sentAt = clock.now();
    return {
      dispatcher: pools.forEngine(server),
      onHead: (facts) => onNotices(server, { facts, sentAt, isRequest: false }),
    };
  }

  #isCurrent(state: EngineState): boolean {
    return this.#engines.get(state.server.id) === state;
  }
}

/** Whether a report is from before an order that the engine has accepted. */
function isOutdated(report: EngineReport, state: EngineState): boolean {
  return report.startedAt === state.server.startedAt &&
    report.acceptedOrderCount < state.acceptedOrderCount;
}

function isAccepted(outcome: OrderOutcome): boolean {
  return outcome === "accepted" || outcome === "done";
}
