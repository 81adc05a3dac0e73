import pino from "pino";

/** Fields of one line. */
export type EventFields = Readonly<Record<string, unknown>>;

/** Writes one structured line for each decision or change of belief. */
export interface EventLog {
  /** Writes a line; drops and counts it if too much waits to be written. */
  readonly write: (event: string, fields?: EventFields) => void;
  /** Lines dropped since the start. */
  readonly dropped: () => number;
  /** Writes what waits, before the process ends. */
  readonly flush: () => void;
}

/** Options of {@link createEventLog}. */
export interface EventLogOptions {
  /** Name of the instance, in each line. */
  readonly instance: string;
  /** Lines a second after which further ones are dropped. */
  readonly maxLinesPerS: number;
}

/** Bytes that may wait to be written. */
const MAX_WAITING_BYTES = 1024 * 1024;
/** Bytes collected before a write. */
const MIN_WRITE_BYTES = 4096;
const FLUSH_INTERVAL_MS = 250;
const STDOUT = 1;

/** Creates a log that writes JSON lines to standard output, never blocking. */
export function createEventLog(
  { instance, maxLinesPerS }: EventLogOptions,
): EventLog {
  const destination = pino.destination({
    dest: STDOUT,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_WAITING_BYTES,
  });
  const logger = pino({
    base: { instance },
    timestamp: pino.stdTimeFunctions.epochTime,
    messageKey: "event",
  }, destination);
  let dropped = 0;
  let allowance = maxLinesPerS;
  destination.on("drop", () => {
    dropped += 1;
  });
  let reported = 0;
  const timer = setInterval(() => {
    allowance = Math.min(
      maxLinesPerS,
      allowance + maxLinesPerS * FLUSH_INTERVAL_MS / 1000,
    );
    if (dropped > reported) {
      logger.warn({ dropped }, "log lines dropped");
      reported = dropped;
    }
    destination.flush();
  }, FLUSH_INTERVAL_MS);
  timer.unref();
  return {
    write: (event, fields = {}) => {
      if (allowance < 1) {
        dropped += 1;
        return;
      }
      allowance -= 1;
      logger.info(fields, event);
    },
    dropped: () => dropped,
    flush: () => destination.flushSync(),
  };
}
