/** Size from which a piece may be kept as it is; smaller ones are copied. */
const LARGE_PIECE_BYTES = 512;
/** Holds any piece that is copied. */
const MIN_BLOCK_BYTES = LARGE_PIECE_BYTES;
const MAX_BLOCK_BYTES = 64 * 1024;
const EMPTY = Buffer.alloc(0);

/**
 * Bytes that arrive in pieces. Small pieces are copied into blocks, so that none
 * of them is kept as an object, and the cost of all operations together is linear
 * in the bytes, however small the pieces are. The storage is at most twice the
 * bytes, and a block.
 */
export class ByteBuffer {
  /** Large pieces and used parts of blocks, in order. */
  #segments: Buffer[] = [];
  #segmentBytes = 0;
  /** Size of the large pieces and of all blocks that the segments are parts of. */
  #sealedBytes = 0;
  /** Block that small pieces are copied to, after the segments. */
  #block: Buffer = EMPTY;
  #blockBytes = 0;

  private constructor() {}

  /** Creates an empty buffer. */
  static create(): ByteBuffer {
    return new ByteBuffer();
  }

  /** Number of bytes. */
  get length(): number {
    return this.#segmentBytes + this.#blockBytes;
  }

  /** Size of the storage, in bytes. */
  get storageBytes(): number {
    return this.#sealedBytes + this.#block.length;
  }

  /** Adds a piece, which must not be changed afterwards. */
  append(piece: Buffer): void {
    const isFull = this.#blockBytes + piece.length > this.#block.length;
    if (isFull) this.#sealBlock();
    if (isFull && piece.length >= LARGE_PIECE_BYTES) {
      this.#pushSegment(piece, piece.length);
      return;
    }
    if (isFull) {
      const doubled = Math.max(MIN_BLOCK_BYTES, this.#segmentBytes);
      this.#block = Buffer.allocUnsafe(Math.min(MAX_BLOCK_BYTES, doubled));
    }
    piece.copy(this.#block, this.#blockBytes);
    this.#blockBytes += piece.length;
  }

  /** Returns the byte at an offset from the end, from 1; undefined before all. */
  byteFromEnd(offset: number): number | undefined {
    if (offset <= this.#blockBytes) {
      return this.#block[this.#blockBytes - offset];
    }
    let before = offset - this.#blockBytes;
    for (let i = this.#segments.length - 1; i >= 0; i -= 1) {
      const segment = this.#segments[i]!;
      if (before <= segment.length) return segment[segment.length - before];
      before -= segment.length;
    }
    return undefined;
  }

  /** Returns the bytes, and keeps them. */
  join(): Buffer {
    this.#sealBlock();
    if (this.#segments.length > 1) {
      this.#segments = [Buffer.concat(this.#segments, this.#segmentBytes)];
      this.#sealedBytes = this.#segmentBytes;
    }
    return this.#segments[0] ?? EMPTY;
  }

  /** Returns the bytes and leaves the buffer empty. */
  takeAll(): Buffer {
    const bytes = this.join();
    this.#segments = [];
    this.#segmentBytes = 0;
    this.#sealedBytes = 0;
    return bytes;
  }

  #sealBlock(): void {
    if (this.#blockBytes > 0) {
      const used = this.#block.subarray(0, this.#blockBytes);
      this.#pushSegment(used, this.#block.length);
    }
    this.#block = EMPTY;
    this.#blockBytes = 0;
  }

  #pushSegment(segment: Buffer, storageBytes: number): void {
    this.#segments.push(segment);
    this.#segmentBytes += segment.length;
    this.#sealedBytes += storageBytes;
  }
}
