import type { Socket } from "node:net";

/**
 * Bytes on one connection that may pass without a part of a response: more than
 * any head, which the parser limits to 16 KiB.
 */
const MAX_UNPRODUCTIVE_BYTES = 1024 * 1024;

/**
 * Closes connections on which a replica sends bytes without end that are no
 * response. The parser limits the size of a head's fields, but not the length of
 * a status line or of a chunk extension.
 */
export class ReadGuard {
  readonly #unproductiveBytes: WeakMap<Socket, number> = new WeakMap();
  #lastRead: { readonly socket: Socket; readonly bytes: number } | undefined;
  #lastSocket: Socket | undefined;
  #reads = 0;

  private constructor() {}

  /** Creates the guard for the connections to one replica. */
  static create(): ReadGuard {
    return new ReadGuard();
  }

  /**
   * Connection that was read last; while the parser reports a part of a response,
   * the one that it came on.
   */
  get lastSocket(): Socket | undefined {
    return this.#lastSocket;
  }

  /** Number of reads from all connections that returned bytes. */
  get reads(): number {
    return this.#reads;
  }

  /** Counts the bytes that are read from a connection. */
  watch(socket: Socket): void {
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      this.#settleLastRead();
      const chunk = read(size);
      this.#lastSocket = socket;
      if (chunk instanceof Buffer) {
        this.#reads += 1;
        this.#lastRead = { socket, bytes: chunk.length };
      }
      return chunk;
    };
  }

  /**
   * Records that the parser has found a part of a response. It does so before
   * the next read of any connection, so the part was in the last bytes read.
   */
  recordProgress(): void {
    if (!this.#lastRead) return;
    this.#unproductiveBytes.delete(this.#lastRead.socket);
    this.#lastRead = undefined;
  }

  #settleLastRead(): void {
    if (!this.#lastRead) return;
    const { socket, bytes } = this.#lastRead;
    this.#lastRead = undefined;
    const sum = (this.#unproductiveBytes.get(socket) ?? 0) + bytes;
    this.#unproductiveBytes.set(socket, sum);
    if (sum > MAX_UNPRODUCTIVE_BYTES) {
      socket.destroy(new Error("bytes without a response"));
    }
  }
}
