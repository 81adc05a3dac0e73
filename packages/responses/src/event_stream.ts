const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/;
const COMMENTS_AND_BLANK_LINES = /^(?::[^\r\n]*\r?\n|\r?\n)*$/;

/** Size from which bytes without the end of an event are no event. */
export const MAX_EVENT_BYTES = 1024 * 1024;

/** Complete events of a stream, byte for byte. */
export interface CompleteEvents {
  /** Bytes of one or more complete events. */
  readonly bytes: Buffer;
  /** Id of the last event that has one; undefined if none has. */
  readonly lastId?: string;
}

/**
 * Splits the bytes of an event stream after complete events, so that a stream
 * that is cut off within an event can be resumed without a truncated event.
 */
export class EventStreamSplitter {
  #incompleteEvent: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a splitter for the start of a stream. */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Bytes of the event that is not complete yet; empty if there is none. */
  get incompleteEvent(): Buffer {
    return this.#incompleteEvent;
  }

  /** Whether the bytes so far end within an event or a line. */
  get isInsideEvent(): boolean {
    return !COMMENTS_AND_BLANK_LINES.test(this.#incompleteEvent.toString());
  }

  /**
   * Adds bytes; returns the events that they complete, or undefined if none.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#incompleteEvent.length === 0
      ? chunk
      : Buffer.concat([this.#incompleteEvent, chunk]);
    const end = findLastEventEnd(bytes);
    this.#incompleteEvent = bytes.subarray(end);
    if (end === 0) return undefined;
    const complete = bytes.subarray(0, end);
    return { bytes: complete, lastId: findLastId(complete) };
  }
}

/** Returns the offset after the last blank line, or 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] !== LINE_FEED) continue;
    const previous = bytes[i - 1] === CARRIAGE_RETURN ? i - 2 : i - 1;
    if (previous >= 0 && bytes[previous] === LINE_FEED) return i + 1;
  }
  return 0;
}

function findLastId(events: Buffer): string | undefined {
  const lines = events.toString("utf8").split(/\r?\n/);
  for (const line of lines.reverse()) {
    const match = ID_LINE.exec(line);
    if (match) return match[1];
  }
  return undefined;
}
