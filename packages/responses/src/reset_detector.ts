import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Replaces the code ECONNRESET, which undici handles specially. */
const RESET_CODE = "CONNECTION_RESET";
/**
 * HTTP allows an empty line before a request. The line is written only to check
 * whether the write fails.
 */
const EMPTY_LINE = "\r\n";

/**
 * Detects connection resets during close-delimited responses, which have
 * neither a content length nor a transfer encoding. undici takes a reset for
 * the end of such a response. If the reset follows directly on the last bytes,
 * libuv even reports an ordinary end: it stops at the hang-up and leaves the
 * socket's error unread. The error then shows at the next write.
 */
export class ResetDetector {
  #openResponses = 0;
  #isReset = false;
  #hasSeenReset = false;

  private constructor() {}

  /** Creates the detector for the connections to one replica. */
  static create(): ResetDetector {
    return new ResetDetector();
  }

  /** True while undici handles the end of a connection that was reset. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /** Whether a connection was reset during a tracked response. */
  get hasSeenReset(): boolean {
    return this.#hasSeenReset;
  }

  /**
   * Starts detection for a close-delimited response. Returns a function that
   * must be called when the response has ended.
   */
  trackCloseDelimited(): () => void {
    this.#openResponses += 1;
    let hasEnded = false;
    return () => {
      if (!hasEnded) this.#openResponses -= 1;
      hasEnded = true;
    };
  }

  /**
   * Returns a connector with a connect time-out that checks its sockets for
   * resets, and calls `onConnect` with each of them.
   */
  createConnector(
    timeoutMs: number,
    onConnect: (socket: Socket) => void = () => {},
  ): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error) {
          callback(error, null);
          return;
        }
        socket.prependListener("error", renameReset);
        socket.prependListener("end", () => this.#checkForReset(socket));
        onConnect(socket);
        callback(null, socket);
      });
    };
  }

  #checkForReset(socket: Socket): void {
    if (this.#openResponses === 0) return;
    socket.write(EMPTY_LINE);
    this.#isReset = socket.errored !== null;
    this.#hasSeenReset ||= this.#isReset;
    // undici's own listeners run before the next tick.
    process.nextTick(() => {
      this.#isReset = false;
    });
  }
}

function renameReset(error: Error & { code?: string }): void {
  if (error.code === "ECONNRESET") error.code = RESET_CODE;
}
