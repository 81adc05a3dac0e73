import type { Socket } from "node:net";

/** Bytes and time for which a connection is read after its last response. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_DISCARD_MS = 1000;
const TURN_MS = 20;
/** Bytes of one turn of all connections together, and of one of them at least. */
const TURN_BYTES = 320 * 1024;
const MIN_SHARE_BYTES = 64 * 1024;

interface Discarding {
  readonly socket: Socket;
  turns: number;
  bytes: number;
  /** Bytes after which it waits for its next turn. */
  shareBytes: number;
}

/**
 * Reads what is left on connections that have got their last response, and then
 * closes them: one that is closed with unread bytes is reset, and the response
 * may be lost. The connections take turns, as what is read is freed late.
 */
export class Discards {
  /** In the order of their turns. */
  readonly #open: Set<Discarding> = new Set();
  #timer: NodeJS.Timeout | undefined;

  private constructor() {}

  /** Creates one without connections. */
  static create(): Discards {
    return new Discards();
  }

  /** Ends a connection, and closes it once the other side has done so too. */
  end(socket: Socket): void {
    socket.end();
    // Nothing that follows is parsed.
    socket.removeAllListeners("data");
    const each = { socket, turns: 0, bytes: 0, shareBytes: MIN_SHARE_BYTES };
    socket.on("data", (piece) => {
      each.bytes += piece.length;
      each.shareBytes -= piece.length;
      if (each.bytes > MAX_DISCARDED_BYTES) socket.destroy();
      else if (each.shareBytes <= 0) socket.pause();
    });
    socket.once("close", () => this.#open.delete(each));
    this.#open.add(each);
    this.#timer ??= setInterval(() => this.#takeTurns(), TURN_MS).unref();
  }

  #takeTurns(): void {
    let left = TURN_BYTES;
    const shareBytes = Math.max(MIN_SHARE_BYTES, TURN_BYTES / this.#open.size);
    for (const each of [...this.#open]) {
      each.turns += 1;
      if (each.turns > MAX_DISCARD_MS / TURN_MS) {
        each.socket.destroy();
        this.#open.delete(each);
        continue;
      }
      if (left <= 0) continue;
      left -= shareBytes;
      each.shareBytes = shareBytes;
      each.socket.resume();
      this.#open.delete(each);
      this.#open.add(each);
    }
    if (this.#open.size > 0) return;
    clearInterval(this.#timer);
    this.#timer = undefined;
  }
}
