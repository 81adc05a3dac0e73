/**
 * A moment in the history of a store. Each restore of the store from a copy
 * begins a new epoch, in which versions of the one before are given out again.
 */
export interface StorePosition {
  /** Number of restores so far; 0 for a store that doesn't count them. */
  readonly epoch: number;
  /** Version within the epoch. */
  readonly version: number;
}

/** Negative if `a` is before `b`, positive if it is after it, else 0. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return a.epoch - b.epoch || a.version - b.version;
}
