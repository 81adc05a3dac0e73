const MIN_CAPACITY_BYTES = 1024;

/** Options of {@link ByteBuffer.create}. */
export interface ByteBufferOptions {
  /** Largest number of bytes that are ever appended, if it is known. */
  readonly maxBytes?: number;
}

/**
 * Bytes that arrive in pieces, kept in one piece. The storage doubles when it is
 * full, so the cost of appending is linear in the bytes, however small the pieces
 * are, and none of the pieces is kept.
 */
export class ByteBuffer {
  readonly #maxBytes: number;
  #storage: Buffer = Buffer.alloc(0);
  #length = 0;
  /** False while the storage is a piece that belongs to the caller. */
  #isOwned = true;

  private constructor({ maxBytes = Infinity }: ByteBufferOptions) {
    this.#maxBytes = maxBytes;
  }

  /** Creates an empty buffer. */
  static create(options: ByteBufferOptions = {}): ByteBuffer {
    return new ByteBuffer(options);
  }

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Size of the storage, in bytes. */
  get capacity(): number {
    return this.#storage.length;
  }

  /** The bytes; valid until the next change. */
  get bytes(): Buffer {
    return this.#storage.subarray(0, this.#length);
  }

  /** Adds a piece, which must not be changed afterwards. */
  append(piece: Buffer): void {
    if (piece.length === 0) return;
    if (this.#length === 0 && this.#storage.length < piece.length) {
      this.#storage = piece;
      this.#length = piece.length;
      this.#isOwned = false;
      return;
    }
    this.#reserve(this.#length + piece.length);
    piece.copy(this.#storage, this.#length);
    this.#length += piece.length;
  }

  /** Returns the bytes and leaves the buffer empty. */
  takeAll(): Buffer {
    const { bytes } = this;
    this.#storage = Buffer.alloc(0);
    this.#length = 0;
    this.#isOwned = true;
    return bytes;
  }

  #reserve(bytes: number): void {
    if (this.#isOwned && bytes <= this.#storage.length) return;
    const doubled = Math.max(2 * this.#length, MIN_CAPACITY_BYTES);
    const capacity = Math.max(bytes, Math.min(doubled, this.#maxBytes));
    const storage = Buffer.allocUnsafeSlow(capacity);
    this.bytes.copy(storage);
    this.#storage = storage;
    this.#isOwned = true;
  }
}
