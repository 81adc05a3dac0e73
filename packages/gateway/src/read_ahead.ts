import type { Socket } from "node:net";

/** Bytes that are held unparsed, after which a connection is not read. */
const MAX_READ_AHEAD_BYTES = 16 * 1024;

type DataListener = (piece: Buffer) => void;

/**
 * Holds back what arrives on a connection from its parser. The connection is
 * read on for some bytes, as one that isn't read doesn't tell that its caller
 * has left.
 */
export class ReadAhead {
  readonly #socket: Socket;
  #listeners: readonly DataListener[] | undefined;
  #pieces: Buffer[] = [];
  #bytes = 0;

  private constructor(socket: Socket) {
    this.#socket = socket;
    // Each request whose body is read resumes its connection.
    socket.on("resume", () => this.#limit());
  }

  /** Creates one that holds nothing back. */
  static create(socket: Socket): ReadAhead {
    return new ReadAhead(socket);
  }

  /** Holds back what arrives from now on. */
  hold(): void {
    if (this.#listeners) return;
    const socket = this.#socket;
    this.#listeners = socket.listeners("data") as DataListener[];
    for (const listener of this.#listeners) socket.off("data", listener);
    socket.on("data", this.#keep);
    this.#limit();
  }

  /** Passes on what was held back, unless it is to be held again meanwhile. */
  release(): void {
    const listeners = this.#listeners;
    if (!listeners) return;
    const socket = this.#socket;
    this.#listeners = undefined;
    socket.off("data", this.#keep);
    for (const listener of listeners) socket.on("data", listener);
    while (!this.#listeners && !socket.destroyed) {
      const piece = this.#pieces.shift();
      if (!piece) break;
      this.#bytes -= piece.length;
      for (const listener of listeners) listener.call(socket, piece);
    }
    if (this.#bytes <= MAX_READ_AHEAD_BYTES) socket.resume();
  }

  readonly #keep = (piece: Buffer) => {
    this.#pieces.push(piece);
    this.#bytes += piece.length;
    this.#limit();
  };

  #limit(): void {
    if (this.#listeners && this.#bytes > MAX_READ_AHEAD_BYTES) {
      this.#socket.pause();
    }
  }
}
