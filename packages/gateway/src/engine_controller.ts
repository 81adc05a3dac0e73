import type { EventLog } from "@banyanspool/logger";
import type { Lease } from "@banyanspool/platform";
import {
  type OrderOutcome,
  readEngineReport,
  sendEngineOrder,
} from "@banyanspool/platform-adapter";
import type { BackendServer, Clock, Sleep } from "@banyanspool/types";
import type { ConnectionPools } from "./connection_pools.ts";
import {
  applyReport,
  createEngineState,
  type EngineState,
  listAvailableNames,
} from "./engine_state.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** Options of {@link EngineController.create}. */
export interface EngineControllerOptions {
  /** Lease without which no order is given. */
  readonly lease: Lease;
  /** Name by which orders are given. */
  readonly holder: string;
  /** Time source. */
  readonly clock: Clock;
  /** Waits. */
  readonly sleep: Sleep;
  /** Connections to replicas. */
  readonly pools: ConnectionPools;
  /** Called when what replicas offer has changed. */
  readonly onAvailableModelsChange: () => void;
  /** Structured log. */
  readonly log: EventLog;
  /** Metrics. */
  readonly metrics: GatewayMetrics;
}

/** What an order asks of an engine. */
export interface PlacementOrder {
  /** What to do. */
  readonly operation: "load" | "unload";
  /** Model. */
  readonly model: string;
  /** Adapter of that model, if the order concerns only it. */
  readonly adapter?: string;
}

/** Reports are some hundred ms old; an order shows in them after this. */
const REPORT_LAG_MS = 350;
/** Reports missing in a row after which an engine counts as lost. */
const MISSING_REPORTS = 2;
/** Shortest time between two reports that are read on a suspicion, in ms. */
const SUSPICION_INTERVAL_MS = 1000;
/** How often the report is read while an order is being carried out, in ms. */
const REPORT_INTERVAL_MS = 100;
/**
 * How often an order without an answer is sent again. With half of all answers
 * lost, one in sixteen orders is then still unknown and read from a report.
 */
const ORDER_REPEATS = 3;
/** An order is given up when its effect does not show within this, in ms. */
const ORDER_LIMIT_MS = 12_000;

/**
 * Gives orders to engines and keeps what is known of each. Orders to one
 * replica are given one after the other, each under the number of orders that
 * the replica has accepted, so that a late one is rejected.
 */
export class EngineController {
  readonly #options: EngineControllerOptions;
  readonly #engines: Map<string, EngineState> = new Map();
  #version = 0;

  private constructor(options: EngineControllerOptions) {
    this.#options = options;
  }

  /** Creates a desk that knows no engine. */
  static create(options: EngineControllerOptions): EngineController {
    return new EngineController(options);
  }

  /** Whether this process may give orders now. */
  get holdsLease(): boolean {
    return this.#options.lease.held;
  }

  /** Rises with each change of what replicas offer. */
  get version(): number {
    return this.#version;
  }

  /** What each replica offers; only of those that have reported. */
  listAvailableModels(): { server: BackendServer; names: string[] }[] {
    return [...this.#engines.values()]
      .filter(({ isSynced }) => isSynced)
      .map((state) => ({
        server: state.server,
        names: listAvailableNames(state),
      }));
  }

  /** State of a replica's engine, if it is known. */
  get(replica: string): EngineState | undefined {
    return this.#engines.get(replica);
  }

  /** Forgets everything, as another process may have given orders. */
  clear(): void {
    this.#engines.clear();
  }

  /** Starts to know listed replicas and forgets those that are gone. */
  follow(servers: ReadonlyMap<string, BackendServer>): void {
    for (const server of servers.values()) this.#followOne(server);
    for (const id of this.#engines.keys()) {
      if (!servers.has(id)) this.#engines.delete(id);
    }
  }

  /**
   * Reads the report of a replica that failed requests somewhere. The list
   * keeps a crashed one for several heartbeats; its models are missed sooner.
   */
  checkSuspected(replica: string): void {
    const state = this.#engines.get(replica);
    if (!state?.isSynced || state.queuedTasks > 0) return;
    const now = this.#options.clock.now();
    if (now - state.reportRequestedAt < SUSPICION_INTERVAL_MS) return;
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
    // An order of an earlier holder may still be in progress, and what it
    // loads shows only when it has ended.
    if (known.isSynced && known.isBusy && known.queuedTasks === 0) {
      this.enqueue(known, () => this.resync(known));
    }
  }

  /**
   * Sends an order, if the lease still allows it, and again while nobody can
   * tell what became of it. All bear the same number of orders accepted
   * before, so the replica takes one of them at most, however late.
   */
  async order(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    for (let repeats = 0;; repeats += 1) {
      const outcome = await this.#sendOrder(state, order);
      if (outcome !== "unknown" || repeats === ORDER_REPEATS) return outcome;
    }
  }

  async #sendOrder(
    state: EngineState,
    order: PlacementOrder,
  ): Promise<OrderOutcome | "lease lost"> {
    const { lease, holder, pools, log, metrics } = this.#options;
    if (!lease.held || !this.#isKnown(state)) return "lease lost";
    const { fencingToken } = lease;
    const expectedOrders = state.acceptedOrders;
    const outcome = await sendEngineOrder(state.server, {
      ...order,
      expectedOrders,
      holder,
      fencingToken,
    }, pools.forReplica(state.server).pool);
    if (outcome === "accepted" || outcome === "done") {
      state.acceptedOrders += 1;
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

  /** Reads the report once it must show what happened before. */
  async resync(state: EngineState): Promise<void> {
    await this.#options.sleep(REPORT_LAG_MS);
    await this.#sync(state);
  }

  /** Reads reports until the engine is idle and a condition holds. */
  async awaitEffect(
    state: EngineState,
    isDone: () => boolean,
  ): Promise<boolean> {
    const { clock } = this.#options;
    const giveUpAt = clock.now() + ORDER_LIMIT_MS;
    const orders = state.acceptedOrders;
    while (this.holdsLease && clock.now() < giveUpAt && this.#isKnown(state)) {
      await this.#options.sleep(REPORT_INTERVAL_MS);
      const read = await readEngineReport(
        state.server,
        this.#options.pools.forReplica(state.server).pool,
      );
      // An older report doesn't know of the order yet.
      if (!read.ok || read.value.acceptedOrders < orders) continue;
      if (read.value.busy) continue;
      applyReport(state, read.value);
      this.notifyAvailableModelsChange();
      return isDone();
    }
    return false;
  }

  /** Runs a task behind all others of the replica. */
  enqueue(state: EngineState, task: () => Promise<void>): void {
    state.queuedTasks += 1;
    state.lastTask = state.lastTask.then(task).catch((error) => {
      this.#options.log.write("engine task failed", { error: String(error) });
    }).finally(() => {
      state.queuedTasks -= 1;
    });
  }

  /** Tells that what replicas offer has changed. */
  notifyAvailableModelsChange(): void {
    this.#version += 1;
    this.#options.onAvailableModelsChange();
  }

  async #sync(state: EngineState): Promise<void> {
    const { pools, log, sleep, clock } = this.#options;
    let missing = 0;
    while (this.holdsLease && this.#isKnown(state)) {
      state.reportRequestedAt = clock.now();
      const read = await readEngineReport(
        state.server,
        pools.forReplica(state.server).pool,
      );
      if (read.ok) {
        applyReport(state, read.value);
        this.notifyAvailableModelsChange();
        return;
      }
      missing += 1;
      const isLost = state.isSynced && missing >= MISSING_REPORTS;
      log.write("engine report missing", {
        replica: state.server.id,
        missing,
        lost: isLost || undefined,
        detail: read.error,
      });
      if (isLost) {
        state.isSynced = false;
        this.notifyAvailableModelsChange();
      }
      await sleep(REPORT_LAG_MS);
    }
  }

  #isKnown(state: EngineState): boolean {
    return this.#engines.get(state.server.id) === state;
  }
}
