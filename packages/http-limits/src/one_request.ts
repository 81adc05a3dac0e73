import {
  createServer as createHttpServer,
  type RequestListener,
  type ServerOptions,
} from "node:http";
import { createServer, type Server, type Socket } from "node:net";
import { Duplex } from "node:stream";

/** Options of {@link createOneRequestServer}. */
export interface OneRequestOptions extends ServerOptions {
  /** Maximum size of a head, in bytes. */
  readonly maxHeaderSize: number;
}

const END_OF_HEAD = "\r\n\r\n";

/**
 * Creates a server whose connections end with the answer to their first request.
 * What follows its head, a body or requests sent ahead, is never parsed.
 */
export function createOneRequestServer(
  options: OneRequestOptions,
  listener: RequestListener,
): Server {
  const http = createHttpServer(options, (req, res) => {
    res.setHeader("connection", "close");
    listener(req, res);
  });
  return createServer((socket) => {
    let head = Buffer.alloc(0);
    socket.on("error", () => {
      // The client has disconnected.
    });
    socket.on("data", (chunk: Buffer) => {
      head = Buffer.concat([head, chunk]);
      const end = head.indexOf(END_OF_HEAD);
      if (end === -1 && head.length <= options.maxHeaderSize) return;
      socket.removeAllListeners("data");
      socket.pause();
      // The parser refuses a head that is too large.
      const bytes = end === -1 ? head : head.subarray(0, end + 4);
      http.emit("connection", new FirstRequest(socket, bytes));
    });
  });
}

/** A connection of which only these bytes are read. */
class FirstRequest extends Duplex {
  readonly #socket: Socket;
  #bytes: Buffer | undefined;

  constructor(socket: Socket, bytes: Buffer) {
    super();
    this.#socket = socket;
    this.#bytes = bytes;
    this.on("error", () => {});
    socket.once("close", () => this.destroy());
  }

  override _read(): void {
    if (!this.#bytes) return;
    const bytes = this.#bytes;
    this.#bytes = undefined;
    this.push(bytes);
  }

  override _write(
    chunk: Buffer,
    encoding: BufferEncoding,
    done: (error?: Error | null) => void,
  ): void {
    this.#socket.write(chunk, encoding, done);
  }

  override _final(done: () => void): void {
    this.#socket.destroySoon();
    done();
  }

  override _destroy(
    error: Error | null,
    done: (error: Error | null) => void,
  ): void {
    this.#socket.destroySoon();
    done(error);
  }
}
