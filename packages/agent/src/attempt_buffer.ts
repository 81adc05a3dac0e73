import type { Refusal } from "@banyanspool/types";

/** Tokens and texts of an answer's end. */
export interface AttemptUsage {
  /** Prompt tokens that the engine counted. */
  readonly promptTokens: number;
  /** Tokens that it generated. */
  readonly generatedTokens: number;
  /** Prompt tokens that came from its prefix cache. */
  readonly cachedTokens: number;
}

/** How an attempt ended. */
export type AttemptEnd =
  | { readonly kind: "finished"; readonly usage: AttemptUsage }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Head of an answer. */
export interface ResponseHead {
  /** HTTP status. */
  readonly status: number;
  /** Content type. */
  readonly contentType: string;
}

/** Bytes of an answer with the number of tokens that they hold. */
export interface BufferedChunk {
  /** Bytes before this chunk. */
  readonly offset: number;
  /** Bytes. */
  readonly bytes: Uint8Array;
  /** Generated tokens. */
  readonly tokens: number;
}

/** Options of {@link AttemptBuffer.create}. */
export interface AttemptBufferOptions {
  /** Bytes that may wait for the reader before the writer must wait. */
  readonly maxUnreadBytes: number;
}

/**
 * Answer of one attempt, kept whole until it is forgotten, so that a reader
 * can resume at any offset after its connection was lost.
 */
export class AttemptBuffer {
  readonly #options: AttemptBufferOptions;
  readonly #chunks: BufferedChunk[] = [];
  #head: ResponseHead | undefined;
  #end: AttemptEnd | undefined;
  #length = 0;
  #readUpTo = 0;
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

  /** Head of the answer, once it is there. */
  get head(): ResponseHead | undefined {
    return this.#head;
  }

  /** End of the answer, once it is there. */
  get end(): AttemptEnd | undefined {
    return this.#end;
  }

  /** Resolves once the end is there. */
  get ended(): Promise<void> {
    return this.#ended;
  }

  /** Bytes written so far. */
  get length(): number {
    return this.#length;
  }

  /** Writes the head. */
  start(head: ResponseHead): void {
    this.#head = head;
    this.wakeWaiters();
  }

  /** Writes bytes. */
  append(bytes: Uint8Array, tokens: number): void {
    if (this.#end) return;
    this.#chunks.push({ offset: this.#length, bytes, tokens });
    this.#length += bytes.length;
    this.wakeWaiters();
  }

  /** Ends the answer; the first end stays. */
  finish(end: AttemptEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#resolveEnded();
    this.wakeWaiters();
  }

  /** Chunks that hold bytes from an offset on. */
  chunksFrom(offset: number): readonly BufferedChunk[] {
    const index = this.#findChunk(offset);
    return this.#chunks.slice(index);
  }

  /** Marks bytes as read, so that the writer may go on. */
  markRead(offset: number): void {
    this.#readUpTo = Math.max(this.#readUpTo, offset);
    this.wakeWaiters();
  }

  /** Resolves when there is room for the writer; poke after an abort. */
  async waitForCapacity(signal: AbortSignal): Promise<void> {
    const { maxUnreadBytes } = this.#options;
    while (this.#length - this.#readUpTo > maxUnreadBytes) {
      if (signal.aborted || this.#end) return;
      await this.changed();
    }
  }

  /** Resolves after the next change. */
  changed(): Promise<void> {
    return new Promise((resolve) => this.#waiters.push(resolve));
  }

  /** Wakes everyone who waits for a change. */
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
