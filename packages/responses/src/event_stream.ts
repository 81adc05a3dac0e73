import { ByteBuffer } from "./byte_buffer.ts";

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
  readonly #incomplete: ByteBuffer = ByteBuffer.create();

  private constructor() {}

  /** Creates a splitter for the start of a stream. */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Bytes of the event that is not complete yet; empty if there is none. */
  get incompleteEvent(): Buffer {
    return this.#incomplete.bytes;
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
    this.#incomplete.append(chunk.subarray(0, end));
    if (end === 0) {
      this.#incomplete.append(chunk);
      return undefined;
    }
    const bytes = this.#incomplete.takeAll();
    this.#incomplete.append(chunk.subarray(end));
    return { bytes, lastId: findLastId(bytes) };
  }

  /** Returns the offset after the last blank line in `chunk`; 0 if none ends. */
  #findLastEventEnd(chunk: Buffer): number {
    const before = this.#incomplete.bytes;
    const byteAt = (i: number) => i >= 0 ? chunk[i] : before[before.length + i];
    for (let i = chunk.length - 1; i >= 0; i -= 1) {
      if (chunk[i] !== LINE_FEED) continue;
      const previous = byteAt(i - 1) === CARRIAGE_RETURN ? i - 2 : i - 1;
      if (byteAt(previous) === LINE_FEED) return i + 1;
    }
    return 0;
  }
}

function findLastId(events: Buffer): string | undefined {
  const lines = events.toString("utf8").split(/\r?\n/);
  for (const line of lines.reverse()) {
    const match = ID_LINE.exec(line);
    if (match) return match[1];
  }
  return undefined;
}
