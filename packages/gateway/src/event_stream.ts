const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_LINE = /^id:[ ]?(.*)$/;

/** Whole events of a stream, as they came. */
export interface CompleteEvents {
  /** Bytes of one or more whole events. */
  readonly bytes: Buffer;
  /** Id of the last of them, if it has one. */
  readonly lastId?: string;
}

/**
 * Cuts the bytes of an event stream after whole events, so that a stream that
 * breaks off inside an event can go on elsewhere without a torn piece.
 */
export class EventStreamSplitter {
  #rest: Buffer = Buffer.alloc(0);

  private constructor() {}

  /** Creates a cutter at the start of a stream. */
  static create(): EventStreamSplitter {
    return new EventStreamSplitter();
  }

  /** Bytes of an event that is not whole yet. */
  get incompleteEvent(): Buffer {
    return this.#rest;
  }

  /** Takes in bytes and returns the events that are whole now, if any. */
  push(chunk: Buffer): CompleteEvents | undefined {
    const bytes = this.#rest.length === 0
      ? chunk
      : Buffer.concat([this.#rest, chunk]);
    const end = findLastEventEnd(bytes);
    this.#rest = bytes.subarray(end);
    if (end === 0) return undefined;
    const whole = bytes.subarray(0, end);
    return { bytes: whole, lastId: findLastId(whole) };
  }
}

/** Offset behind the last blank line; 0 if there is none. */
function findLastEventEnd(bytes: Buffer): number {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] !== LINE_FEED) continue;
    const before = bytes[i - 1] === CARRIAGE_RETURN ? i - 2 : i - 1;
    if (before >= 0 && bytes[before] === LINE_FEED) return i + 1;
  }
  return 0;
}

function findLastId(whole: Buffer): string | undefined {
  const lines = whole.toString("utf8").split(/\r?\n/);
  for (const line of lines.reverse()) {
    const match = ID_LINE.exec(line);
    if (match) return match[1];
  }
  return undefined;
}
