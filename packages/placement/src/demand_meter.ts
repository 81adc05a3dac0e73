import type { Clock, ModelDemand } from "@banyanspool/types";

const NEGLIGIBLE_DEMAND_REPLICAS = 0.0005;

/** Options of {@link DemandMeter.create}. */
export interface DemandMeterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Window of the fast average, in ms. */
  readonly fastWindowMs: number;
  /** Window of the slow average, in ms. */
  readonly slowWindowMs: number;
}

interface Averages {
  fast: number;
  slow: number;
  at: number;
}

/**
 * Exponential moving averages of each model's demand over a short and a long
 * window. The short one follows a sudden shift; the long one keeps a short lull
 * from being taken for the end of demand.
 */
export class DemandMeter {
  readonly #options: DemandMeterOptions;
  readonly #averages: Map<string, Averages> = new Map();

  private constructor(options: DemandMeterOptions) {
    this.#options = options;
  }

  /** Creates a meter without recorded demand. */
  static create(options: DemandMeterOptions): DemandMeter {
    return new DemandMeter(options);
  }

  /** Records a request by the time that it keeps one replica busy, in ms. */
  record(model: string, busyMs: number): void {
    const averages = this.#decay(model);
    averages.fast += busyMs / this.#options.fastWindowMs;
    averages.slow += busyMs / this.#options.slowWindowMs;
  }

  /** Demand of all models whose slow average isn't negligible. */
  read(): ModelDemand[] {
    const demand: ModelDemand[] = [];
    for (const model of this.#averages.keys()) {
      const { fast, slow } = this.#decay(model);
      if (slow < NEGLIGIBLE_DEMAND_REPLICAS) {
        this.#averages.delete(model);
        continue;
      }
      demand.push({ model, fastReplicas: fast, slowReplicas: slow });
    }
    return demand;
  }

  #decay(model: string): Averages {
    const { clock, fastWindowMs, slowWindowMs } = this.#options;
    const now = clock.now();
    const averages = this.#averages.get(model) ?? { fast: 0, slow: 0, at: now };
    const elapsed = now - averages.at;
    averages.fast *= Math.exp(-elapsed / fastWindowMs);
    averages.slow *= Math.exp(-elapsed / slowWindowMs);
    averages.at = now;
    this.#averages.set(model, averages);
    return averages;
  }
}
