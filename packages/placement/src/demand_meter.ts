import type { Clock, ModelDemand } from "@banyanspool/types";

const NEGLIGIBLE_REPLICAS = 0.0005;

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
 * Exponentially weighted demand of each model over a short and a long window.
 * The short one follows a sudden shift, the long one keeps a short lull from
 * looking like an end.
 */
export class DemandMeter {
  readonly #options: DemandMeterOptions;
  readonly #averages: Map<string, Averages> = new Map();

  private constructor(options: DemandMeterOptions) {
    this.#options = options;
  }

  /** Creates a meter that has seen nothing. */
  static create(options: DemandMeterOptions): DemandMeter {
    return new DemandMeter(options);
  }

  /** Counts a request by the time that it would keep one replica busy. */
  record(model: string, busyMs: number): void {
    const averages = this.#decay(model);
    averages.fast += busyMs / this.#options.fastWindowMs;
    averages.slow += busyMs / this.#options.slowWindowMs;
  }

  /** Demand of all models that have any. */
  read(): ModelDemand[] {
    const demand: ModelDemand[] = [];
    for (const model of this.#averages.keys()) {
      const { fast, slow } = this.#decay(model);
      if (slow < NEGLIGIBLE_REPLICAS) {
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
