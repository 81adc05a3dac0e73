import type { Clock, ModelDemand } from "@banyanspool/types";

const FAST_WINDOW_MS = 30_000;
const SLOW_WINDOW_MS = 600_000;
const NEGLIGIBLE_REPLICAS = 0.0005;

/** Options of {@link DemandMeter.create}. */
export interface DemandMeterOptions {
  /** Time source. */
  readonly clock: Clock;
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
  readonly #clock: Clock;
  readonly #averages: Map<string, Averages> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a meter that has seen nothing. */
  static create({ clock }: DemandMeterOptions): DemandMeter {
    return new DemandMeter(clock);
  }

  /** Counts a request by the time that it would keep one replica busy. */
  record(model: string, busyMs: number): void {
    const averages = this.#decay(model);
    averages.fast += busyMs / FAST_WINDOW_MS;
    averages.slow += busyMs / SLOW_WINDOW_MS;
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
    const now = this.#clock.now();
    const averages = this.#averages.get(model) ?? { fast: 0, slow: 0, at: now };
    const elapsed = now - averages.at;
    averages.fast *= Math.exp(-elapsed / FAST_WINDOW_MS);
    averages.slow *= Math.exp(-elapsed / SLOW_WINDOW_MS);
    averages.at = now;
    this.#averages.set(model, averages);
    return averages;
  }
}
