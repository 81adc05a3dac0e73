import { LRUCache } from "lru-cache";
import type { Clock, Sleep } from "@banyanspool/types";

/** What brought the first event of a stream. */
export interface StreamOrigin {
  /** Id of the caller's attempt that received the first event. */
  readonly id: string;
  /** Software version of the replica that sent it. */
  readonly version: string;
}

/** A message between gateways about streams. */
export interface StreamMessage {
  /** Records that the receiver keeps. */
  readonly origins: readonly StreamOrigin[];
  /** Ids whose records the receiver returns, if it has them. */
  readonly queries: readonly string[];
}

/** Options of {@link StreamOrigins.create}. */
export interface StreamOriginsOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Time for which a stream may be taken up, in ms. */
  readonly windowMs: number;
  /**
   * Gateways that keep a stream's record besides the one that relays it, the
   * most preferred first.
   */
  readonly keepersOf: (id: string) => readonly string[];
  /** Sends a message to another gateway; it may be lost. */
  readonly send: (instance: string, message: StreamMessage) => void;
}

/** Number of records that a gateway keeps, for its own and others' streams. */
const MAX_ORIGINS = 10_000;
const MAX_UNFINISHED = 1000;
/** Number of gateways to which a record is sent. */
const COPIES = 2;
/**
 * Number of gateways that are asked for a record. More than get it, as the
 * gateways that are live may have changed since.
 */
const ASKED = 4;
/** Times to wait for the answer to each query, in ms. */
const QUERY_TIMEOUTS_MS = [60, 120];
/** Version of a record that contradicts an earlier one for the same id. */
const CONTRADICTED = undefined;

/**
 * Records of the software versions that began streams. A record is kept by the
 * gateway that relays the stream and by two more, so that it survives the loss of
 * a gateway, and is found from any other.
 */
export class StreamOrigins {
  readonly #options: StreamOriginsOptions;
  readonly #versions: LRUCache<string, { version: string | undefined }>;
  /** Records of streams that this gateway relays or has failed to complete. */
  readonly #unfinished: LRUCache<string, string>;
  readonly #waiting: Map<string, Set<() => void>> = new Map();

  private constructor(options: StreamOriginsOptions) {
    this.#options = options;
    const bounds = {
      ttl: options.windowMs,
      perf: { now: options.clock.now },
      ttlResolution: 0,
    };
    this.#versions = new LRUCache({ ...bounds, max: MAX_ORIGINS });
    this.#unfinished = new LRUCache({ ...bounds, max: MAX_UNFINISHED });
  }

  /** Creates an empty set of records. */
  static create(options: StreamOriginsOptions): StreamOrigins {
    return new StreamOrigins(options);
  }

  /**
   * Records the origin of a stream whose first event is about to be relayed, here
   * and at other gateways. A later call for the same stream keeps the record.
   */
  record(origin: StreamOrigin): void {
    const { keepersOf, send } = this.#options;
    this.#keep(origin);
    this.#unfinished.set(origin.id, origin.version);
    for (const instance of keepersOf(origin.id).slice(0, COPIES)) {
      send(instance, { origins: [origin], queries: [] });
    }
  }

  /** Records that a stream was relayed to its end, and won't be taken up. */
  complete(id: string): void {
    this.#unfinished.delete(id);
  }

  /** Streams that this gateway began and that may be taken up. */
  get unfinished(): StreamOrigin[] {
    this.#unfinished.purgeStale();
    return [...this.#unfinished.entries()].map(([id, version]) => ({
      id,
      version,
    }));
  }

  /** Adds a record that a gateway stored before this process started. */
  recall(origin: StreamOrigin): void {
    this.#keep(origin);
    this.#unfinished.set(origin.id, origin.version);
  }

  /**
   * Returns the version that began a stream; undefined if no gateway that is
   * asked has a record in time, or if two records contradict each other.
   */
  async find(id: string, signal?: AbortSignal): Promise<string | undefined> {
    const { keepersOf, send } = this.#options;
    for (const timeoutMs of QUERY_TIMEOUTS_MS) {
      const known = this.#versions.get(id);
      if (known) return known.version;
      if (signal?.aborted) return undefined;
      for (const instance of keepersOf(id).slice(0, ASKED)) {
        send(instance, { origins: [], queries: [id] });
      }
      await this.#waitForRecord(id, timeoutMs);
    }
    return this.#versions.get(id)?.version;
  }

  /** Handles a message of another gateway. */
  receive(from: string, { origins, queries }: StreamMessage): void {
    for (const origin of origins) {
      this.#keep(origin);
      for (const wake of this.#waiting.get(origin.id) ?? []) wake();
    }
    const found: StreamOrigin[] = [];
    for (const id of queries) {
      const version = this.#versions.get(id)?.version;
      if (version !== undefined) found.push({ id, version });
    }
    if (found.length === 0) return;
    this.#options.send(from, { origins: found, queries: [] });
  }

  #keep({ id, version }: StreamOrigin): void {
    const known = this.#versions.get(id);
    const isSame = !known || known.version === version;
    this.#versions.set(id, { version: isSame ? version : CONTRADICTED });
  }

  async #waitForRecord(id: string, timeoutMs: number): Promise<void> {
    const waiting = this.#waiting.get(id) ?? new Set();
    this.#waiting.set(id, waiting);
    const timeout = new AbortController();
    const wake = () => timeout.abort();
    waiting.add(wake);
    await this.#options.sleep(timeoutMs, timeout.signal).catch(() => {});
    waiting.delete(wake);
    if (waiting.size === 0) this.#waiting.delete(id);
  }
}
