import type { EventFields, EventLog } from "@banyanspool/logger";
import type { Clock } from "@banyanspool/types";

/** Options of {@link throttleEvent}. */
export interface ThrottleOptions {
  /** Log that is written to. */
  readonly log: Pick<EventLog, "write">;
  /** Time source. */
  readonly clock: Clock;
  /** Shortest time between two lines, in ms. */
  readonly intervalMs: number;
}

/**
 * Returns a function that logs an event at a bounded rate. A line tells how many
 * were left out before it.
 */
export function throttleEvent(
  event: string,
  { log, clock, intervalMs }: ThrottleOptions,
): (fields: EventFields) => void {
  let loggedAt = -Infinity;
  let skipped = 0;
  return (fields) => {
    const now = clock.now();
    if (now - loggedAt < intervalMs) {
      skipped += 1;
      return;
    }
    log.write(event, { ...fields, skipped });
    loggedAt = now;
    skipped = 0;
  };
}
