import type { Clock, ModelDemand } from "@banyanspool/types";

/** Window of the average, in ms. */
const WINDOW_MS = 300_000;
/** Shortest time between two records, and the time that one stands for, in ms. */
const RECORD_INTERVAL_MS = 1000;
/** An average below this is forgotten, in replicas. */
const NEGLIGIBLE_DEMAND_REPLICAS = 0.000_001;

/** Options of {@link LongTermDemand.create}. */
export interface LongTermDemandOptions {
  /** Time source. */
  readonly clock: Clock;
}

/**
 * Average of each model's demand over minutes. It tells which of several models
 * without requests now is likely to be requested again soon, after the shorter
 * averages of the demand have forgotten its last request.
 */
export class LongTermDemand {
  readonly #clock: Clock;
  readonly #averages: Map<string, number> = new Map();
  #recordedAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#recordedAt = clock.now();
  }

  /** Creates averages without recorded demand. */
  static create({ clock }: LongTermDemandOptions): LongTermDemand {
    return new LongTermDemand(clock);
  }

  /**
   * Records the present demand, by model, at most once a second. After a longer
   * pause it stands for one second too, as the demand meanwhile isn't known.
   */
  record(demand: ReadonlyMap<string, ModelDemand>): void {
    const now = this.#clock.now();
    const elapsedMs = now - this.#recordedAt;
    if (elapsedMs < RECORD_INTERVAL_MS) return;
    this.#recordedAt = now;
    const remainingShare = Math.exp(-elapsedMs / WINDOW_MS);
    for (const [model, average] of this.#averages) {
      this.#averages.set(model, average * remainingShare);
    }
    const weight = 1 - Math.exp(-RECORD_INTERVAL_MS / WINDOW_MS);
    for (const [model, { slowReplicas }] of demand) {
      const average = this.#averages.get(model) ?? 0;
      this.#averages.set(model, average + slowReplicas * weight);
    }
    for (const [model, average] of this.#averages) {
      if (average < NEGLIGIBLE_DEMAND_REPLICAS) this.#averages.delete(model);
    }
  }

  /** Average demand for a model, in replicas kept busy. */
  averageOf(model: string): number {
    return this.#averages.get(model) ?? 0;
  }
}
