import type { Clock, ModelDemand, Sleep } from "@banyanspool/types";
import type { FleetMember } from "@banyanspool/fleet";
import type { DecisionLog } from "@banyanspool/audit";
import { Lease, type Platform } from "@banyanspool/platform";
import {
  assemblePlacementPlan,
  type PlacementModel,
  type PlacementMove,
} from "@banyanspool/placement";
import type { Router } from "@banyanspool/routing";
import { createLog } from "@banyanspool/logger";
import type { ModelLoadAdvice } from "./model_loader.ts";
import { listPlacementModels } from "./placement_models.ts";

const ROUND_INTERVAL_MS = 2000;
const LEASE_MS = 10_000;
const MOVE_PATIENCE_MS = 20_000;
const MAX_MOVES = 4;
const BUSY_SHARE = 0.7;
const MIN_GAIN = 0.1;
const KV_SHARE = 0.1;

const log = createLog("entry:placement");

/** Options of {@link PlacementController.create}. */
export interface PlacementControllerOptions {
  /** This daemon's part in the fleet. */
  readonly member: FleetMember;
  /** Known replicas. */
  readonly router: Router;
  /** The platform's services. */
  readonly platform: Platform;
  /** Time source. */
  readonly clock: Clock;
  /** Waits between rounds. */
  readonly sleep: Sleep;
  /** Decision log. */
  readonly decisions: DecisionLog;
  /** Sends advice to an agent. */
  readonly advise: (advice: ModelLoadAdvice) => Promise<void>;
}

/**
 * Plans the placement of a data centre while this daemon is its collector
 * and holds the lease. What it sends is advice: a former holder that wakes up
 * late can do no harm, since agents decide by their own ledgers.
 */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #lease: Lease;
  readonly #underWay: Map<PlacementMove, number> = new Map();

  private constructor(options: PlacementControllerOptions) {
    const { member, platform, clock } = options;
    const { instance, incarnation, dataCentre } = member.identity;
    this.#options = options;
    this.#lease = Lease.create({
      table: platform.table,
      key: `duty/placement/${dataCentre}`,
      holder: `${instance}#${incarnation}`,
      durationMs: LEASE_MS,
      clock,
    });
  }

  /** Creates the duty; it does nothing before {@link run}. */
  static create(options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  /** Whether this daemon holds the duty now. */
  get isLeaseHolder(): boolean {
    return this.#lease.held;
  }

  /** Plans once in a while until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.sleep(ROUND_INTERVAL_MS, signal);
      if (!this.#options.member.isCollector) continue;
      if (!await this.#lease.renew()) continue;
      await this.#planOnce();
    }
  }

  async #planOnce(): Promise<void> {
    const { member, router, advise } = this.#options;
    const { current } = member.config;
    if (!current) return;
    const replicas = router.reports();
    if (replicas.length === 0) return;
    this.#forgetSettled();
    const plan = assemblePlacementPlan({
      models: this.#readModels(),
      replicas,
      dataCentre: member.identity.dataCentre,
      pendingMoves: [...this.#underWay.keys()],
    }, {
      maxMoves: MAX_MOVES,
      busyShare: BUSY_SHARE,
      minGain: MIN_GAIN,
      kvShare: KV_SHARE,
    });
    const reports = new Map(replicas.map((r) => [r.replica, r]));
    for (const move of plan) {
      this.#underWay.set(move, this.#options.clock.now());
      this.#recordMove(move);
      const report = reports.get(move.replica)!;
      await advise({ report, model: move.load, unloadModels: move.unload });
    }
  }

  #readModels(): PlacementModel[] {
    const { member } = this.#options;
    const demand = sumDemand(
      member.collector.daemons().map((daemon) => daemon.demand),
    );
    return listPlacementModels(member.config.current!.document, demand);
  }

  #forgetSettled(): void {
    const now = this.#options.clock.now();
    for (const [move, since] of this.#underWay) {
      const isReady = this.#options.router.ready(move.load)
        .some((report) => report.replica === move.replica);
      if (isReady || now - since > MOVE_PATIENCE_MS) {
        this.#underWay.delete(move);
      }
    }
  }

  #recordMove(move: PlacementMove): void {
    const { decisions, member } = this.#options;
    const unload = move.unload.join(", ") || "nothing";
    log(`Replica "${move.replica}" should load model "${move.load}"`);
    decisions.record({
      kind: "placement",
      subject: move.load,
      reason: move.reason,
      configVersion: member.config.version,
      detail: `replica ${move.replica} loads it and unloads ${unload}`,
    });
  }
}

/** Adds up the demand that several entries report. */
export function sumDemand(
  reports: readonly (readonly ModelDemand[])[],
): Map<string, ModelDemand> {
  const sums = new Map<string, ModelDemand>();
  for (const demand of reports.flat()) {
    const { model } = demand;
    const sum = sums.get(model);
    sums.set(model, {
      model,
      fastReplicas: (sum?.fastReplicas ?? 0) + demand.fastReplicas,
      slowReplicas: (sum?.slowReplicas ?? 0) + demand.slowReplicas,
    });
  }
  return sums;
}
