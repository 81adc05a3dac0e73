import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { setTimeout as delay } from "node:timers/promises";

/** How a replica answers one request. */
export type Answer =
  /** Runs it and answers 200. */
  | { readonly kind: "run" }
  /** Runs it and answers with a failure that bears its signature. */
  | { readonly kind: "fail"; readonly status: 400 | 500 | 503 }
  /** Doesn't run it and says so, with or without the request's id. */
  | {
    readonly kind: "reject";
    readonly status: 421 | 429 | 503;
    readonly hasId: boolean;
  };

/** What else a replica sends. */
export interface Stutter {
  /**
   * When a second copy of the answer follows: at once, while the connection is
   * idle, or where the next response on the connection is expected.
   */
  readonly copy: "none" | "at once" | "idle" | "late";
  /**
   * Bytes that belong to no request, sent before the answer on a connection that
   * was used before.
   */
  readonly stray: "none" | "success" | "failure" | "noise";
  /** Whether the answer comes in small pieces. */
  readonly inPieces: boolean;
  /** Whether the connection is closed after the answer. */
  readonly closes: boolean;
}

/** One step of a script: how the next request is answered, at any replica. */
export type Step = Answer & Stutter;

const STRAY_BYTES = {
  none: "",
  success: "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nok\n",
  failure: "HTTP/1.1 500 Failure\r\ncontent-length: 0\r\n\r\n",
  noise: "no answer\r\n\r\n",
};
const HEAD_END = "\r\n\r\n";
const IDLE_COPY_MS = 3;
const PIECE_BYTES = 40;

/** Options of {@link ScriptedReplica.create}. */
export interface ScriptedReplicaOptions {
  /** Returns the step by which the next request is answered. */
  readonly nextStep: () => Step;
  /** Called with the id of each request that it runs. */
  readonly onRun: (id: string) => void;
}

/** A replica that answers by a script, and may send copies and stray bytes. */
export class ScriptedReplica {
  readonly #options: ScriptedReplicaOptions;
  readonly #server: Server;
  readonly #sockets: Set<Socket> = new Set();

  private constructor(options: ScriptedReplicaOptions) {
    this.#options = options;
    this.#server = createServer((socket) => void this.#serve(socket));
  }

  /** Starts a replica on a free port. */
  static async create(
    options: ScriptedReplicaOptions,
  ): Promise<ScriptedReplica> {
    const replica = new ScriptedReplica(options);
    await new Promise<void>((resolve) =>
      replica.#server.listen(0, "127.0.0.1", resolve)
    );
    return replica;
  }

  /** Row by which it is listed as a replica of a service. */
  row(service: string): unknown {
    const { port } = this.#server.address() as AddressInfo;
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone: "north",
      version: "v1",
      slots: 64,
      state: "ready",
      born: 1,
      seq: 1,
    };
  }

  /** Closes all connections. */
  close(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }

  /** Answers the requests of one connection, one after the other. */
  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on("error", () => {});
    let lateCopy = "";
    let isFirst = true;
    try {
      for await (const id of readRequests(socket)) {
        const step = this.#options.nextStep();
        const stray = isFirst ? "" : STRAY_BYTES[step.stray];
        isFirst = false;
        socket.write(lateCopy + stray);
        if (step.kind !== "reject") this.#options.onRun(id);
        const text = formatAnswer(id, step);
        await writeAnswer(socket, text, step);
        lateCopy = step.copy === "late" ? text : "";
        if (step.copy === "idle") await delay(IDLE_COPY_MS);
        if (step.copy === "idle" || step.copy === "at once") socket.write(text);
        if (step.closes) socket.end();
      }
    } catch {
      // The gateway closed the connection.
    }
    this.#sockets.delete(socket);
  }
}

/** Yields the id of each request that has arrived with its body. */
async function* readRequests(socket: Socket): AsyncGenerator<string> {
  let text = "";
  for await (const chunk of socket) {
    text += (chunk as Buffer).toString("latin1");
    while (true) {
      const headEnd = text.indexOf(HEAD_END);
      if (headEnd < 0) break;
      const head = text.slice(0, headEnd);
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
      const end = headEnd + HEAD_END.length + length;
      if (text.length < end) break;
      text = text.slice(end);
      yield /request-id: (\S+)/i.exec(head)?.[1] ?? "";
    }
  }
}

/** Body of a run's answer. */
export function bodyFor(id: string): string {
  return `answer to ${id}`;
}

function formatAnswer(id: string, answer: Answer): string {
  if (answer.kind === "reject") {
    const idLine = answer.hasId ? `request-id: ${id}\r\n` : "";
    return `HTTP/1.1 ${answer.status} Busy\r\nnot-executed: 1\r\n${idLine}` +
      "content-length: 0\r\n\r\n";
  }
  const status = answer.kind === "run" ? 200 : answer.status;
  const body = bodyFor(id);
  return `HTTP/1.1 ${status} Done\r\nrequest-id: ${id}\r\n` +
    `response-stamp: stamp-${id}\r\ncontent-length: ${body.length}\r\n\r\n` +
    body;
}

async function writeAnswer(
  socket: Socket,
  text: string,
  { inPieces }: Stutter,
): Promise<void> {
  if (!inPieces) {
    socket.write(text);
    return;
  }
  for (let at = 0; at < text.length; at += PIECE_BYTES) {
    socket.write(text.slice(at, at + PIECE_BYTES));
    await new Promise((resolve) => setImmediate(resolve));
  }
}
