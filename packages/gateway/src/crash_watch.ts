import { connect } from "node:net";
import {
  type BackendServer,
  type Clock,
  incarnationOf,
} from "@banyanspool/types";

/** Result of connecting to a replica. */
export type ConnectResult = "refused" | "accepted" | "unknown";

/** Options of {@link CrashWatch.create}. */
export interface CrashWatchOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Connects to an `ip:port` address and closes the connection. */
  readonly tryConnect: (address: string) => Promise<ConnectResult>;
  /** Whether a replica is listed and not draining. */
  readonly isServing: (server: BackendServer) => boolean;
  /** Called for the requests that a crashed replica cut off. */
  readonly onCrash: (crash: DetectedCrash) => void;
}

/** A crashed replica and the prompt parts of requests that it cut off. */
export interface DetectedCrash {
  /** Replica. */
  readonly server: BackendServer;
  /** Identifies its incarnation. */
  readonly incarnation: string;
  /** Ids of the parts. */
  readonly parts: readonly string[];
}

interface CutOffs {
  /** Parts of requests that were cut off before the result of the connection. */
  readonly parts: Set<string>;
  readonly checkedAt: number;
  result: ConnectResult | "pending";
}

/** Time after which a replica that accepted a connection is checked again. */
const RECHECK_MS = 1000;
/** Time for which a crashed incarnation is remembered, in ms. */
const REMEMBER_MS = 60_000;

/**
 * Tells crashes of replicas from other reasons for which a response is cut off: a
 * crashed replica refuses connections although no one has planned its end.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #cutOffs: Map<string, CutOffs> = new Map();

  private constructor(options: CrashWatchOptions) {
    this.#options = options;
  }

  /** Creates a watch without crashes. */
  static create(options: CrashWatchOptions): CrashWatch {
    return new CrashWatch(options);
  }

  /** Records that a replica cut off a request with these prompt parts. */
  recordCutOff(server: BackendServer, parts: readonly string[]): void {
    const { clock, isServing, onCrash } = this.#options;
    const incarnation = incarnationOf(server);
    const known = this.#cutOffs.get(incarnation);
    if (known?.result === "refused") {
      onCrash({ server, incarnation, parts });
      return;
    }
    if (known && clock.now() - known.checkedAt < RECHECK_MS) {
      for (const part of parts) known.parts.add(part);
      return;
    }
    if (!isServing(server)) return;
    void this.#check(server, incarnation, parts);
  }

  async #check(
    server: BackendServer,
    incarnation: string,
    parts: readonly string[],
  ): Promise<void> {
    const { clock, tryConnect, onCrash } = this.#options;
    this.#forgetOld();
    const cutOffs: CutOffs = {
      parts: new Set(parts),
      checkedAt: clock.now(),
      result: "pending",
    };
    this.#cutOffs.set(incarnation, cutOffs);
    cutOffs.result = await tryConnect(server.address);
    if (cutOffs.result !== "refused") return;
    onCrash({ server, incarnation, parts: [...cutOffs.parts] });
  }

  #forgetOld(): void {
    const since = this.#options.clock.now() - REMEMBER_MS;
    for (const [incarnation, { checkedAt }] of this.#cutOffs) {
      if (checkedAt < since) this.#cutOffs.delete(incarnation);
    }
  }
}

const CONNECT_TIMEOUT_MS = 500;
/** A port without a listener refuses a connection or resets it. */
const REFUSED_CODES = new Set(["ECONNREFUSED", "ECONNRESET"]);

/** Connects to an address by TCP and closes the connection. */
export async function tryConnect(address: string): Promise<ConnectResult> {
  const colon = address.lastIndexOf(":");
  const host = address.slice(0, colon);
  const port = Number(address.slice(colon + 1));
  return await new Promise<ConnectResult>((resolve) => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS });
    const finish = (result: ConnectResult) => {
      socket.destroy();
      resolve(result);
    };
    socket.once("connect", () => finish("accepted"));
    socket.once("timeout", () => finish("unknown"));
    socket.on("error", ({ code = "" }: NodeJS.ErrnoException) => {
      finish(REFUSED_CODES.has(code) ? "refused" : "unknown");
    });
  });
}
