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

const PLANNING_INTERVAL_MS = 2000;
const LEASE_MS = 10_000;
const MOVE_TIMEOUT_MS = 20_000;
const MAX_MOVES = 4;
const BUSY_SHARE = 0.7;
const MIN_GAIN = 0.1;
const KV_SHARE = 0.1;

const log = createLog("entry:placement");

/** Options of {@link PlacementController.create}. */
export interface PlacementControllerOptions {
  /** This daemon's membership in the fleet. */
  readonly member: FleetMember;
  /** Router with the latest replica reports. */
  readonly router: Router;
  /** Client of the platform, whose table store holds the lease. */
  readonly platform: Platform;
  /** Time source. */
  readonly clock: Clock;
  /** Waits between planning rounds. */
  readonly sleep: Sleep;
  /** Receives a record of each planned move. */
  readonly decisions: DecisionLog;
  /** Sends advice to an agent. */
  readonly advise: (advice: ModelLoadAdvice) => Promise<void>;
}

/**
 * Control loop that plans model placement in one data centre while this
 * daemon is the data centre's collector and holds the placement lease. It sends
 * only advice, which agents check against their own memory ledgers, so a former
 * lease holder that resumes late does no harm.
 */
export class PlacementController {
  readonly #options: PlacementControllerOptions;
  readonly #lease: Lease;
  readonly #pendingMoves: Map<PlacementMove, number> = new Map();

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

  /** Creates an idle controller; {@link run} starts it. */
  static create(options: PlacementControllerOptions): PlacementController {
    return new PlacementController(options);
  }

  /** Whether this daemon holds the placement lease now. */
  get isLeaseHolder(): boolean {
    return this.#lease.held;
  }

  /** Runs a planning round at a fixed interval until aborted. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#options.sleep(PLANNING_INTERVAL_MS, signal);
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
    this.#removeSettledMoves();
    const plan = assemblePlacementPlan({
      models: this.#readModels(),
      replicas,
      dataCentre: member.identity.dataCentre,
      pendingMoves: [...this.#pendingMoves.keys()],
    }, {
      maxMoves: MAX_MOVES,
      busyShare: BUSY_SHARE,
      minGain: MIN_GAIN,
      kvShare: KV_SHARE,
    });
    const reports = new Map(replicas.map((r) => [r.replica, r]));
    for (const move of plan) {
      this.#pendingMoves.set(move, this.#options.clock.now());
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

  #removeSettledMoves(): void {
    const now = this.#options.clock.now();
    for (const [move, startedAt] of this.#pendingMoves) {
      const isReady = this.#options.router.ready(move.load)
        .some((report) => report.replica === move.replica);
      if (isReady || now - startedAt > MOVE_TIMEOUT_MS) {
        this.#pendingMoves.delete(move);
      }
    }
  }

  #recordMove(move: PlacementMove): void {
    const { decisions, member } = this.#options;
    const unload = move.unload.join(", ") || "nothing";
    log(`Advising replica "${move.replica}" to load model "${move.load}"`);
    decisions.record({
      kind: "placement",
      subject: move.load,
      reason: move.reason,
      configVersion: member.config.version,
      detail: `replica ${move.replica} loads it and unloads ${unload}`,
    });
  }
}

/** Sums the demand that entries report, by model. */
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
