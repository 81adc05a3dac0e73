import { connect } from "node:net";
import type { RequestFingerprint } from "@banyanspool/quarantine";
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

/** A crashed replica and requests that it cut off. */
export interface DetectedCrash {
  /** Replica. */
  readonly server: BackendServer;
  /** Identifies its incarnation. */
  readonly incarnation: string;
  /** The requests. */
  readonly requests: readonly RequestFingerprint[];
}

interface CutOffs {
  /** Requests that were cut off before the result of the connection. */
  readonly requests: RequestFingerprint[];
  readonly checkedAt: number;
  result: ConnectResult | "pending";
  /** Resolves when the result is known. */
  readonly checked: Promise<void>;
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

  /**
   * Records that a replica cut off a request. Resolves when it is known whether
   * the replica has crashed.
   */
  async recordCutOff(
    server: BackendServer,
    request: RequestFingerprint,
  ): Promise<void> {
    const { clock, isServing, onCrash } = this.#options;
    const incarnation = incarnationOf(server);
    const known = this.#cutOffs.get(incarnation);
    if (known?.result === "refused") {
      onCrash({ server, incarnation, requests: [request] });
      return;
    }
    if (known && clock.now() - known.checkedAt < RECHECK_MS) {
      known.requests.push(request);
      return await known.checked;
    }
    if (!isServing(server)) return;
    this.#forgetOld();
    const requests = [request];
    const cutOffs: CutOffs = {
      requests,
      checkedAt: clock.now(),
      result: "pending",
      checked: this.#options.tryConnect(server.address).then((result) => {
        cutOffs.result = result;
        if (result === "refused") onCrash({ server, incarnation, requests });
      }),
    };
    this.#cutOffs.set(incarnation, cutOffs);
    await cutOffs.checked;
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
