import type { Clock, ModelDemand } from "@banyanspool/types";

/** Window of the average, in ms. */
const WINDOW_MS = 300_000;
const NEGLIGIBLE_DEMAND_REPLICAS = 0.000_01;

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

  /** Records the demand since the last call, by model. */
  record(demand: ReadonlyMap<string, ModelDemand>): void {
    const now = this.#clock.now();
    const weight = 1 - Math.exp((this.#recordedAt - now) / WINDOW_MS);
    this.#recordedAt = now;
    for (const [model, average] of this.#averages) {
      const rest = average * (1 - weight);
      if (rest < NEGLIGIBLE_DEMAND_REPLICAS) this.#averages.delete(model);
      else this.#averages.set(model, rest);
    }
    for (const [model, { slowReplicas }] of demand) {
      if (slowReplicas <= 0) continue;
      const rest = this.#averages.get(model) ?? 0;
      this.#averages.set(model, rest + slowReplicas * weight);
    }
  }

  /** Average demand for a model, in replicas kept busy. */
  of(model: string): number {
    return this.#averages.get(model) ?? 0;
  }
}
