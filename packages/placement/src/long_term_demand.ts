import type { Clock, ModelDemand } from "@banyanspool/types";

/** Window of the average, in ms. */
const WINDOW_MS = 300_000;
/** Shortest time between two records, and the time that one stands for, in ms. */
const RECORD_INTERVAL_MS = 1000;
/** Time for which a model's demand is taken for the mean of all, in ms. */
const UNKNOWN_MS = 30_000;
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
  /** Share of the window that the records make up. */
  #recordedShare = 0;

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
    const weight = shareOfWindow(RECORD_INTERVAL_MS);
    this.#recordedShare = this.#recordedShare * remainingShare + weight;
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

  /**
   * Expected demand for each of the models of a service, in replicas kept busy.
   * What isn't known after a short record is taken for the mean of them all, so
   * that a model without a request yet doesn't count as one that nobody wants.
   */
  expectedOf(models: Iterable<string>): Map<string, number> {
    const averages = [...models].map((model) =>
      [model, this.averageOf(model)] as const
    );
    const sum = averages.reduce((total, [, average]) => total + average, 0);
    if (sum === 0) return new Map(averages);
    const unknownShare = shareOfWindow(UNKNOWN_MS);
    const mean = sum / averages.length / this.#recordedShare;
    return new Map(averages.map(([model, average]) => [
      model,
      (average + mean * unknownShare) / (this.#recordedShare + unknownShare),
    ]));
  }
}

function shareOfWindow(ms: number): number {
  return 1 - Math.exp(-ms / WINDOW_MS);
}
