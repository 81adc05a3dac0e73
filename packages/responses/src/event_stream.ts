import { ByteBuffer } from "./byte_buffer.ts";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = Buffer.from("id:");
const ID_LINE = /^id:[ ]?(.*?)\r?$/;
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
  readonly #incomplete: ByteBuffer = ByteBuffer.create();

  private constructor() {}

  /** Creates a splitter for the start of a stream. */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Bytes of the event that is not complete yet; empty if there is none. */
  get incompleteEvent(): Buffer {
    return this.#incomplete.join();
  }

  /** Number of bytes of the event that is not complete yet. */
  get incompleteBytes(): number {
    return this.#incomplete.length;
  }

  /** Whether the bytes so far end within an event or a line. */
  get isInsideEvent(): boolean {
    return !COMMENTS_AND_BLANK_LINES.test(this.incompleteEvent.toString());
  }

  /**
   * Adds bytes; returns the events that they complete, or undefined if none. Only
   * the added bytes are searched, so the cost is linear in the stream's bytes.
   */
  push(chunk: Buffer): CompleteEvents | undefined {
    const end = this.#findLastEventEnd(chunk);
    if (end === 0) {
      this.#incomplete.append(chunk);
      return undefined;
    }
    const completed = chunk.subarray(0, end);
    const bytes = this.#incomplete.length === 0
      ? completed
      : this.#takeWith(completed);
    if (end < chunk.length) this.#incomplete.append(chunk.subarray(end));
    return { bytes, lastId: findLastId(bytes) };
  }

  #takeWith(completed: Buffer): Buffer {
    this.#incomplete.append(completed);
    return this.#incomplete.takeAll();
  }

  /** Returns the offset after the last blank line in `chunk`; 0 if none ends. */
  #findLastEventEnd(chunk: Buffer): number {
    const byteAt = (i: number) =>
      i >= 0 ? chunk[i] : this.#incomplete.byteFromEnd(-i);
    let end = chunk.lastIndexOf(LINE_FEED);
    while (end >= 0) {
      const previous = byteAt(end - 1) === CARRIAGE_RETURN ? end - 2 : end - 1;
      if (byteAt(previous) === LINE_FEED) return end + 1;
      if (end === 0) return 0;
      end = chunk.lastIndexOf(LINE_FEED, end - 1);
    }
    return 0;
  }
}

function findLastId(events: Buffer): string | undefined {
  let at = events.lastIndexOf(ID_FIELD);
  while (at > 0 && events[at - 1] !== LINE_FEED) {
    at = events.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) return undefined;
  const lineEnd = events.indexOf(LINE_FEED, at);
  const end = lineEnd < 0 ? events.length : lineEnd;
  const line = events.toString("utf8", at, end);
  return ID_LINE.exec(line)?.[1];
}
