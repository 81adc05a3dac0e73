import { connect, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** Options of {@link HostileCrowd.open}. */
export interface CrowdOptions {
  /** Address on the loopback network; 127.0.0.1 by default. */
  readonly host?: string;
  /** Port at that address. */
  readonly port: number;
  /** Number of clients. */
  readonly clients: number;
  /** Bytes that each client sends, piece by piece. */
  readonly pieces: (client: number) => Iterable<Buffer>;
  /** Time between two pieces, in ms; none by default. */
  readonly pauseMs?: number;
  /** Whether the clients read what is sent to them; false by default. */
  readonly reads?: boolean;
}

const POLL_MS = 100;
/** Polls without progress after which a crowd is stuck or has sent all. */
const QUIET_POLLS = 15;
const MAX_POLLS = 300;

/** Clients that stay open until they are closed or the crowd leaves. */
export class HostileCrowd {
  readonly #sockets: Socket[] = [];
  #isLeaving = false;
  #readBytes = 0;

  private constructor() {}

  /** Connects all clients, which begin to send at once. */
  static open(options: CrowdOptions): HostileCrowd {
    const crowd = new HostileCrowd();
    for (let client = 0; client < options.clients; client += 1) {
      void crowd.#send(options, client);
    }
    return crowd;
  }

  /** Waits until no client makes progress any more. */
  async settle(): Promise<void> {
    let quietPolls = 0;
    let last = "";
    for (let poll = 0; poll < MAX_POLLS; poll += 1) {
      await delay(POLL_MS);
      const progress = this.#progress();
      quietPolls = progress === last ? quietPolls + 1 : 0;
      if (quietPolls === QUIET_POLLS) return;
      last = progress;
    }
  }

  /** Closes all clients without an end of what they send. */
  leave(): void {
    this.#isLeaving = true;
    for (const socket of this.#sockets) socket.destroy();
  }

  async #send(
    { host = "127.0.0.1", port, pieces, pauseMs, reads = false }: CrowdOptions,
    client: number,
  ): Promise<void> {
    const socket = connect({ host, port });
    this.#sockets.push(socket);
    socket.on("error", () => {});
    if (reads) {
      socket.on("data", (bytes) => this.#readBytes += bytes.length);
    }
    let wake = () => {};
    socket.on("drain", () => wake());
    socket.on("close", () => wake());
    for (const piece of pieces(client)) {
      if (this.#isLeaving || socket.destroyed) return;
      const isWritten = socket.write(piece);
      if (!isWritten) {
        await new Promise<void>((resolve) => {
          wake = resolve;
          if (socket.destroyed) resolve();
        });
      }
      if (pauseMs !== undefined) await delay(pauseMs);
    }
  }

  #progress(): string {
    let sent = 0;
    let open = 0;
    for (const socket of this.#sockets) {
      sent += socket.bytesWritten - socket.writableLength;
      if (!socket.destroyed) open += 1;
    }
    return `${sent} ${open} ${this.#readBytes}`;
  }
}
