import type { VirtualTime } from "./virtual_time.ts";

const MIB_PER_S = 4000;
const MS_PER_S = 1000;

/** Options of {@link WeightStore}. */
export interface WeightStoreOptions {
  /** Time of the replay. */
  readonly time: VirtualTime;
  /** Loads that start in a second. */
  readonly modelLoadsPerS: number;
  /** Loads that run at full speed together. */
  readonly fullSpeedModelLoads: number;
}

/** Rate-limited store of model weights. */
export class WeightStore {
  readonly #options: WeightStoreOptions;
  #nextStartAt = 0;
  #inFlight = 0;
  /** Factor by which everything is slower from now on. */
  slowdownFactor: number = 1;

  /** Creates an idle store. */
  constructor(options: WeightStoreOptions) {
    this.#options = options;
  }

  /** Time that a load of a size takes from now on, in ms. */
  startModelLoad(mib: number): number {
    const {
      time,
      modelLoadsPerS: loadsPerS,
      fullSpeedModelLoads: fullSpeedLoads,
    } = this.#options;
    const { slowdownFactor: slowness } = this;
    const intervalMs = MS_PER_S / loadsPerS * slowness;
    const startAt = Math.max(time.now, this.#nextStartAt);
    this.#nextStartAt = startAt + intervalMs;
    this.#inFlight += 1;
    const crowding = Math.max(1, this.#inFlight / fullSpeedLoads);
    const ms = startAt - time.now +
      mib / MIB_PER_S * MS_PER_S * crowding * slowness;
    time.scheduleSynchronous(ms, () => {
      this.#inFlight -= 1;
    });
    return ms;
  }
}
