import type { Refusal } from "@banyanspool/types";

/** Token counts of a finished response. */
export interface AttemptUsage {
  /** Prompt tokens that the engine counted. */
  readonly promptTokens: number;
  /** Tokens that the engine generated. */
  readonly generatedTokens: number;
  /** Prompt tokens that were found in the engine's prefix cache. */
  readonly cachedTokens: number;
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "finished"; readonly usage: AttemptUsage }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Status and content type of a response. */
export interface ResponseHead {
  /** HTTP status code. */
  readonly status: number;
  /** Value of the content-type header; empty if there is none. */
  readonly contentType: string;
}

/** Bytes of a response with the number of tokens in them. */
export interface BufferedChunk {
  /** Number of bytes before this chunk. */
  readonly offset: number;
  /** Content. */
  readonly bytes: Uint8Array;
  /** Number of generated tokens in the content. */
  readonly tokens: number;
}

/** Options of {@link AttemptBuffer.create}. */
export interface AttemptBufferOptions {
  /** Unread bytes beyond which the writer has to wait for the reader. */
  readonly maxUnreadBytes: number;
}

/**
 * Response of one attempt, kept whole until the attempt is dropped, so that a
 * reader that lost its connection can resume at any offset.
 */
export class AttemptBuffer {
  readonly #options: AttemptBufferOptions;
  readonly #chunks: BufferedChunk[] = [];
  #head: ResponseHead | undefined;
  #end: AttemptEnd | undefined;
  #length = 0;
  #readLength = 0;
  #waiters: (() => void)[] = [];
  readonly #ended: Promise<void>;
  #resolveEnded: () => void = () => {};

  private constructor(options: AttemptBufferOptions) {
    this.#options = options;
    this.#ended = new Promise((resolve) => {
      this.#resolveEnded = resolve;
    });
  }

  /** Creates an empty buffer. */
  static create(options: AttemptBufferOptions): AttemptBuffer {
    return new AttemptBuffer(options);
  }

  /** Head of the response; undefined until {@link start}. */
  get head(): ResponseHead | undefined {
    return this.#head;
  }

  /** How the attempt ended; undefined until {@link finish}. */
  get end(): AttemptEnd | undefined {
    return this.#end;
  }

  /** Resolves once the attempt has ended. */
  get ended(): Promise<void> {
    return this.#ended;
  }

  /** Bytes written so far. */
  get length(): number {
    return this.#length;
  }

  /** Writes the head of the response. */
  start(head: ResponseHead): void {
    this.#head = head;
    this.wakeWaiters();
  }

  /** Appends bytes; ignored once the attempt has ended. */
  append(bytes: Uint8Array, tokens: number): void {
    if (this.#end) return;
    this.#chunks.push({ offset: this.#length, bytes, tokens });
    this.#length += bytes.length;
    this.wakeWaiters();
  }

  /** Ends the attempt; later calls have no effect. */
  finish(end: AttemptEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#resolveEnded();
    this.wakeWaiters();
  }

  /** Chunks with bytes at or after an offset; the first may start before it. */
  chunksFrom(offset: number): readonly BufferedChunk[] {
    const index = this.#findChunk(offset);
    return this.#chunks.slice(index);
  }

  /** Marks all bytes before an offset as read, which may unblock the writer. */
  markRead(offset: number): void {
    this.#readLength = Math.max(this.#readLength, offset);
    this.wakeWaiters();
  }

  /**
   * Resolves when the writer may append, or has to stop since the attempt has
   * ended or the signal is aborted. Call {@link wakeWaiters} after an abort.
   */
  async waitForCapacity(signal: AbortSignal): Promise<void> {
    const { maxUnreadBytes } = this.#options;
    while (this.#length - this.#readLength > maxUnreadBytes) {
      if (signal.aborted || this.#end) return;
      await this.changed();
    }
  }

  /** Resolves at the next change or {@link wakeWaiters}. */
  changed(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Resolves all pending {@link changed} promises. */
  wakeWaiters(): void {
    const waiters = this.#waiters;
    this.#waiters = [];
    for (const wake of waiters) wake();
  }

  #findChunk(offset: number): number {
    let index = this.#chunks.length;
    while (index > 0) {
      const chunk = this.#chunks[index - 1]!;
      if (chunk.offset + chunk.bytes.length <= offset) break;
      index -= 1;
    }
    return index;
  }
}
