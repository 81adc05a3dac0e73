import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Milliseconds since the Unix epoch, for records only. */
export type Timestamp = number;

/** Time sources of one process. */
export interface Clock {
  /** Monotonic milliseconds; it advances while the process is stopped. */
  readonly now: () => Milliseconds;
  /** Wall clock, never used to decide how much time has passed. */
  readonly wall: () => Timestamp;
}

/** Draws a number in [0, 1). */
export type Random = () => number;

/** Waits, or rejects as soon as the signal is aborted. */
export type Sleep = (
  ms: Milliseconds,
  signal?: AbortSignal,
) => Promise<void>;

/** Creates the clock that the daemons run on. */
export function createSystemClock(): Clock {
  return { now: () => performance.now(), wall: Date.now };
}

/**
 * Creates a clock that also counts time for which the process was suspended.
 * The monotonic clock leaves it out and the time of day may be set, so that
 * the longer of the two is taken at each reading.
 */
export function createSuspendAwareClock(): Clock {
  let monotonic = performance.now();
  let wall = Date.now();
  let elapsed = 0;
  function now(): Milliseconds {
    const nextMonotonic = performance.now();
    const nextWall = Date.now();
    elapsed += Math.max(nextMonotonic - monotonic, nextWall - wall, 0);
    monotonic = nextMonotonic;
    wall = nextWall;
    return elapsed;
  }
  return { now, wall: Date.now };
}

/** Waits on the operating system's timer. */
export async function sleep(
  ms: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  await delay(ms, undefined, { signal });
}
