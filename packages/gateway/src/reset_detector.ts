import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code of a reset connection; the transport gives its own a meaning. */
const RESET_CODE = "CONNECTION_RESET";
/** What HTTP allows before a request; only the error of writing it counts. */
const EMPTY_LINE = "\r\n";

/**
 * Tells whether an answer that ends with its connection was reset. The
 * transport takes a reset for the end of such an answer. And where the reset
 * comes right behind the last bytes, the event loop's library reports an
 * ordinary end: it stops at the hang-up and leaves the error unread. The
 * error then shows at the next write.
 */
export class ResetDetector {
  #openAnswers = 0;
  #isReset = false;

  private constructor() {}

  /** Creates the probe of one replica's connections. */
  static create(): ResetDetector {
    return new ResetDetector();
  }

  /** True while the transport handles the end of a connection that was reset. */
  get isReset(): boolean {
    return this.#isReset;
  }

  /** Counts an answer that ends with its connection until it has ended. */
  trackCloseDelimited(): () => void {
    this.#openAnswers += 1;
    let isOver = false;
    return () => {
      if (!isOver) this.#openAnswers -= 1;
      isOver = true;
    };
  }

  /** Connects to the replica within a time limit. */
  createConnector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs });
    return (options, callback) => {
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error) {
          callback(error, null);
          return;
        }
        socket.prependListener("error", renameReset);
        socket.prependListener("end", () => this.#examine(socket));
        callback(null, socket);
      });
    };
  }

  #examine(socket: Socket): void {
    if (this.#openAnswers === 0) return;
    socket.write(EMPTY_LINE);
    this.#isReset = socket.errored !== null;
    // The transport's own listeners run before this.
    process.nextTick(() => {
      this.#isReset = false;
    });
  }
}

function renameReset(error: Error & { code?: string }): void {
  if (error.code === "ECONNRESET") error.code = RESET_CODE;
}
