import type { VirtualTime } from "./virtual_time.ts";

const BANDWIDTH_MIB_PER_S = 4000;
const MS_PER_S = 1000;

/** Options of {@link WeightStore}. */
export interface WeightStoreOptions {
  /** Virtual time of the replay. */
  readonly time: VirtualTime;
  /** Model loads that may start per second. */
  readonly modelLoadsPerS: number;
  /** Concurrent model loads at full speed; more share the bandwidth. */
  readonly fullSpeedModelLoads: number;
}

/** Store of model weights with limited request rate and bandwidth. */
export class WeightStore {
  readonly #options: WeightStoreOptions;
  #nextStartAt = 0;
  #inFlight = 0;
  /** Factor by which model loads started from now on take longer. */
  slowdownFactor: number = 1;

  /** Creates a store without loads in flight. */
  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Starts a load of a size in MiB. Returns its duration in ms. */
  startModelLoad(mib: number): number {
    const {
      time,
      modelLoadsPerS,
      fullSpeedModelLoads,
    } = this.#options;
    const { slowdownFactor } = this;
    const intervalMs = MS_PER_S / modelLoadsPerS * slowdownFactor;
    const startAt = Math.max(time.now, this.#nextStartAt);
    this.#nextStartAt = startAt + intervalMs;
    this.#inFlight += 1;
    const contentionFactor = Math.max(1, this.#inFlight / fullSpeedModelLoads);
    const ms = startAt - time.now +
      mib / BANDWIDTH_MIB_PER_S * MS_PER_S * contentionFactor * slowdownFactor;
    time.scheduleSynchronous(ms, () => {
      this.#inFlight -= 1;
    });
    return ms;
  }
}
