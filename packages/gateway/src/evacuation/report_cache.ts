import type { EventLog } from "@banyanspool/logger";
import type { Clock } from "@banyanspool/types";

/** Options of {@link cacheReport}. */
export interface ReportCacheOptions {
  /** Makes the report, which takes time of the event loop. */
  readonly build: () => unknown;
  /** Time source. */
  readonly clock: Pick<Clock, "now">;
  /** Structured log, for a report that can't be made. */
  readonly log: Pick<EventLog, "write">;
}

/** Shortest time for which a report is served again, in ms. */
const MIN_AGE_MS = 1000;
/** Multiple of the time that a report took for which it is served again. */
const AGE_PER_BUILD = 50;

/**
 * Returns the report as JSON, made again only after a pause; undefined if that
 * failed.
 */
export function cacheReport(
  { build, clock, log }: ReportCacheOptions,
): () => string | undefined {
  let report: string | undefined;
  let nextAt = -Infinity;
  return () => {
    const startedAt = clock.now();
    if (startedAt < nextAt) return report;
    try {
      report = JSON.stringify(build());
    } catch (error) {
      report = undefined;
      log.write("evacuation report failed", { error: String(error) });
    }
    const endedAt = clock.now();
    const tookMs = endedAt - startedAt;
    nextAt = endedAt + Math.max(MIN_AGE_MS, AGE_PER_BUILD * tookMs);
    return report;
  };
}
