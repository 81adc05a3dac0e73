/** What a load of a model is expected to change, in replica seconds. */
export interface LoadWorth {
  /** Work served within the horizon that would not be served, or not in time. */
  readonly earns: number;
  /** Work lost, and loads caused, by what is unloaded. */
  readonly displaces: number;
  /** The load itself. */
  readonly price: number;
}

/** Expected demand for a model without a replica. */
export interface AbsentModel {
  /** Demand, in replicas kept busy. */
  readonly replicas: number;
  /** Requests that wait for it now. */
  readonly waitingRequests: number;
  /** Time of a load, in s. */
  readonly loadS: number;
}

/** Time over which what a load changes is weighed, in s. */
const HORIZON_S = 30;
/** Assumed time for which one request keeps a replica busy, in s. */
const REQUEST_BUSY_S = 0.1;
/** Price of a load from the weight store: as much as five requests, in s. */
const STORE_LOAD_PRICE_S = 0.5;
/** Price of a load from a local copy, in s. */
const LOCAL_LOAD_PRICE_S = 0.1;
/** Hysteresis: what a load earns is this multiple of what it displaces. */
const CLEAR_GAIN_FACTOR = 1.5;

/** Price of a load, in replica seconds. */
export function priceOfLoad({ isLocal }: { isLocal: boolean }): number {
  return isLocal ? LOCAL_LOAD_PRICE_S : STORE_LOAD_PRICE_S;
}

/** Whether a load earns clearly more than it displaces and costs. */
export function isWorthItsPrice(
  { earns, displaces, price }: LoadWorth,
): boolean {
  return earns > displaces * CLEAR_GAIN_FACTOR + price;
}

/**
 * What the absence of a model costs within the horizon, in replica seconds. Its
 * next request loads it, in place of another model that is then absent in the
 * same way: the place stays one too few, and each turn costs a load and the
 * requests that come while it lasts.
 */
export function worthOfReach(
  { replicas, waitingRequests, loadS }: AbsentModel,
): number {
  const requestsPerS = replicas / REQUEST_BUSY_S;
  const waitingWork = waitingRequests * REQUEST_BUSY_S;
  if (requestsPerS === 0) return waitingWork;
  const turnS = 1 / requestsPerS + loadS;
  const turns = HORIZON_S / turnS;
  // Less than one turn is the probability of one.
  const loads = turns < 1 ? 1 - Math.exp(-HORIZON_S * requestsPerS) : turns;
  return loads * STORE_LOAD_PRICE_S +
    replicas * HORIZON_S * loadS / turnS + waitingWork;
}

/**
 * What a further copy saves within the horizon, in replica seconds, by a drop
 * of the sum of squared busy shares, which grows like the time that requests
 * wait. The horizon begins when the load has ended: a model that loads slowly
 * needs its copies no less.
 */
export function worthOfRelief(relief: number): number {
  return relief * HORIZON_S;
}

/** Drop of the sum of squared busy shares by one copy more than `copies`. */
export function reliefByCopy(replicas: number, copies: number): number {
  return replicas ** 2 / (copies * (copies + 1));
}
