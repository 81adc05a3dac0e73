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
 * Returns a connector with a connect time-out for undici, which calls
 * `onConnect` with each socket. undici takes a reset for the end of a response
 * that is close-delimited, that is, has neither a content length nor a transfer
 * encoding; a reset of these sockets fails the response.
 */
export function createReplicaConnector(
  timeoutMs: number,
  onConnect: (socket: Socket) => void,
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
      onConnect(socket);
      callback(null, socket);
    });
  };
}

/**
 * Holds back the end of what a socket receives until all that was written to it
 * has been sent. Must be called before the end of a close-delimited response, as
 * a reset may hide behind that end: libuv reports only the end if both are there
 * at once. What is still to be written, or else an empty line, then fails, and
 * the socket has an error instead of an end.
 *
 * Returns a function that lets a later end pass at once.
 */
export function holdBackEnd(socket: Socket): () => void {
  const { emit } = socket;
  const release = () => {
    socket.emit = emit;
  };
  // undici closes the connection at its end, so that no listener may see it yet.
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== "end") return Reflect.apply(emit, socket, [event, ...args]);
    release();
    return socket.write(EMPTY_LINE, (error) => {
      if (!error && !socket.destroyed) socket.emit("end");
    });
  };
  return release;
}

function renameReset(error: Error & { code?: string }): void {
  if (error.code === "ECONNRESET") error.code = RESET_CODE;
}
