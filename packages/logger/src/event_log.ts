import pino from "pino";

/** Fields of one line of an event log. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Structured log with one line for each decision or state change. */
export interface EventLog {
  /** Writes a line, or drops and counts it above the rate or buffer limit. */
  readonly write: (event: string, fields?: EventFields) => void;
  /** Returns the number of lines dropped since the start. */
  readonly dropped: () => number;
  /** Writes all buffered lines synchronously, before the process exits. */
  readonly flush: () => void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  /** Name of the instance, written in each line. */
  readonly instance: string;
  /** Lines per second above which further lines are dropped. */
  readonly maxLinesPerS: number;
}

/** Buffered bytes above which further lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Bytes that are buffered before a write. */
const MIN_WRITE_BYTES = 4096;
const FLUSH_INTERVAL_MS = 250;
const STDOUT = 1;

/** Creates a log that writes JSON lines to standard output without blocking. */
export function createEventLog(
  { instance, maxLinesPerS }: EventLogOptions,
): EventLog {
  const destination = pino.destination({
    dest: STDOUT,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  const logger = pino({
    base: { instance },
    timestamp: pino.stdTimeFunctions.epochTime,
    messageKey: "event",
  }, destination);
  let dropped = 0;
  let availableLines = maxLinesPerS;
  destination.on("drop", () => {
    dropped += 1;
  });
  let reportedDropped = 0;
  const timer = setInterval(() => {
    availableLines = Math.min(
      maxLinesPerS,
      availableLines + maxLinesPerS * FLUSH_INTERVAL_MS / 1000,
    );
    if (dropped > reportedDropped) {
      logger.warn({ dropped }, "log lines dropped");
      reportedDropped = dropped;
    }
    destination.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    write: (event, fields = {}) => {
      if (availableLines < 1) {
        dropped += 1;
        return;
      }
      availableLines -= 1;
      logger.info(fields, event);
    },
    dropped: () => dropped,
    flush: () => destination.flushSync(),
  };
}
