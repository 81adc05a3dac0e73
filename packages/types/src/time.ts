import { performance } from "node:perf_hooks";
import { setTimeout as delay } from "node:timers/promises";

/** A duration in milliseconds. */
export type Milliseconds = number;

/** Milliseconds since the Unix epoch, for records, not to measure durations. */
export type Timestamp = number;

/** Time sources of one process. */
export interface Clock {
  /** Monotonic time in ms; it advances while the process is stopped. */
  readonly now: () => Milliseconds;
  /** Wall-clock time; not for measuring durations, as it may be set. */
  readonly wall: () => Timestamp;
}

/** Returns a random number in [0, 1). */
export type Random = () => number;

/** Waits for a time; rejects as soon as the signal is aborted. */
export type Sleep = (
  ms: Milliseconds,
  signal?: AbortSignal,
) => Promise<void>;

/** Creates the daemons' clock from the system's monotonic and wall clocks. */
export function createSystemClock(): Clock {
  return { now: () => performance.now(), wall: Date.now };
}

/**
 * Creates a clock that also counts time for which the machine was suspended.
 * The monotonic clock leaves that time out, and the wall clock may be set, so
 * each reading adds the larger advance of the two.
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

/** Waits with a system timer; rejects as soon as the signal is aborted. */
export async function sleep(
  ms: Milliseconds,
  signal?: AbortSignal,
): Promise<void> {
  await delay(ms, undefined, { signal });
}
