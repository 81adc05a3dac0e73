import type { Clock } from "@banyanspool/types";

/** Load that one entry has in flight at a replica. */
export interface InFlightLoad {
  /** Number of requests whose response has not ended. */
  readonly requests: number;
  /** Uncached prompt tokens of requests whose response has not begun. */
  readonly prefillTokens: number;
  /** Prompt and output tokens of all requests in flight. */
  readonly kvTokens: number;
  /** Adapters in use, as `model/adapter`, each once. */
  readonly adapters: readonly string[];
  /** Number of requests whose response has not ended, by model. */
  readonly models: ReadonlyMap<string, number>;
}

/** Part of a replica's load that one request causes. */
export interface RequestLoad {
  /** Prompt tokens to prefill. */
  readonly prefillTokens: number;
  /** Prompt and output tokens. */
  readonly kvTokens: number;
  /** Model, if any. */
  readonly model?: string;
  /** Adapter as `model/adapter`, if any. */
  readonly adapter?: string;
}

interface LoadSum {
  requests: number;
  prefillTokens: number;
  kvTokens: number;
  readonly adapters: Map<string, number>;
  readonly models: Map<string, number>;
}

interface PeerLoad {
  readonly receivedAt: number;
  readonly loads: ReadonlyMap<string, InFlightLoad>;
}

/** A peer's load is ignored after this time without a report from it. */
const MAX_PEER_LOAD_AGE_MS = 1000;

const NO_LOAD: InFlightLoad = {
  requests: 0,
  prefillTokens: 0,
  kvTokens: 0,
  adapters: [],
  models: new Map(),
};

/**
 * Sums of the load at each replica, from this entry and from the reports of
 * others. The sums are updated with each change, so that reading one doesn't
 * depend on the number of requests or entries.
 */
export class ReplicaLoads {
  readonly #clock: Clock;
  readonly #own: Map<string, LoadSum> = new Map();
  readonly #total: Map<string, LoadSum> = new Map();
  /** Loads by instance, the one that reported longest ago first. */
  readonly #peers: Map<string, PeerLoad> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates sums without load. */
  static create({ clock }: { clock: Clock }): ReplicaLoads {
    return new ReplicaLoads(clock);
  }

  /** Adds a request of this entry. */
  addRequest(replica: string, load: RequestLoad): void {
    for (const sums of [this.#own, this.#total]) {
      addRequest(sumAt(sums, replica), load, 1);
    }
  }

  /** Removes the prompt tokens of a request whose response has begun. */
  removePrefill(replica: string, { prefillTokens }: RequestLoad): void {
    for (const sums of [this.#own, this.#total]) {
      sumAt(sums, replica).prefillTokens -= prefillTokens;
    }
  }

  /** Removes a request of this entry whose response has ended. */
  removeRequest(
    replica: string,
    load: RequestLoad,
    { isStarted }: { isStarted: boolean },
  ): void {
    const remaining = isStarted ? { ...load, prefillTokens: 0 } : load;
    for (const sums of [this.#own, this.#total]) {
      addRequest(sumAt(sums, replica), remaining, -1);
      dropIfEmpty(sums, replica);
    }
  }

  /** Replaces the load that another entry has in flight, by replica. */
  updatePeer(
    instance: string,
    loads: ReadonlyMap<string, InFlightLoad>,
  ): void {
    this.#removePeer(instance);
    this.#peers.set(instance, { receivedAt: this.#clock.now(), loads });
    for (const [replica, load] of loads) {
      addLoad(sumAt(this.#total, replica), load, 1);
    }
  }

  /** Load of this entry, by replica. */
  own(): Map<string, InFlightLoad> {
    return new Map(
      [...this.#own].map(([replica, sum]) => [replica, toLoad(sum)]),
    );
  }

  /** Number of requests of this entry at a replica. */
  ownRequestsAt(replica: string): number {
    return this.#own.get(replica)?.requests ?? 0;
  }

  /** Requests and tokens of all entries at a replica. */
  countsAt(
    replica: string,
  ): Pick<InFlightLoad, "requests" | "prefillTokens" | "kvTokens"> {
    this.#expirePeers();
    return this.#total.get(replica) ?? NO_LOAD;
  }

  /** Load of all entries at a replica. */
  at(replica: string): InFlightLoad {
    this.#expirePeers();
    const sum = this.#total.get(replica);
    return sum ? toLoad(sum) : NO_LOAD;
  }

  #expirePeers(): void {
    const oldest = this.#clock.now() - MAX_PEER_LOAD_AGE_MS;
    for (const [instance, { receivedAt }] of this.#peers) {
      if (receivedAt >= oldest) return;
      this.#removePeer(instance);
    }
  }

  #removePeer(instance: string): void {
    const peer = this.#peers.get(instance);
    if (!peer) return;
    this.#peers.delete(instance);
    for (const [replica, load] of peer.loads) {
      addLoad(sumAt(this.#total, replica), load, -1);
      dropIfEmpty(this.#total, replica);
    }
  }
}

function sumAt(sums: Map<string, LoadSum>, replica: string): LoadSum {
  const existing = sums.get(replica);
  if (existing) return existing;
  const created = {
    requests: 0,
    prefillTokens: 0,
    kvTokens: 0,
    adapters: new Map(),
    models: new Map(),
  };
  sums.set(replica, created);
  return created;
}

function dropIfEmpty(sums: Map<string, LoadSum>, replica: string): void {
  if (sums.get(replica)?.requests === 0) sums.delete(replica);
}

function addRequest(sum: LoadSum, load: RequestLoad, sign: 1 | -1): void {
  sum.requests += sign;
  sum.prefillTokens += sign * load.prefillTokens;
  sum.kvTokens += sign * load.kvTokens;
  if (load.adapter !== undefined) addCount(sum.adapters, load.adapter, sign);
  if (load.model !== undefined) addCount(sum.models, load.model, sign);
}

function addLoad(sum: LoadSum, load: InFlightLoad, sign: 1 | -1): void {
  sum.requests += sign * load.requests;
  sum.prefillTokens += sign * load.prefillTokens;
  sum.kvTokens += sign * load.kvTokens;
  for (const adapter of load.adapters) addCount(sum.adapters, adapter, sign);
  for (const [model, count] of load.models) {
    addCount(sum.models, model, sign * count);
  }
}

function addCount(
  counts: Map<string, number>,
  name: string,
  count: number,
): void {
  const next = (counts.get(name) ?? 0) + count;
  if (next === 0) counts.delete(name);
  else counts.set(name, next);
}

function toLoad(sum: LoadSum): InFlightLoad {
  return {
    requests: sum.requests,
    prefillTokens: Math.max(0, sum.prefillTokens),
    kvTokens: Math.max(0, sum.kvTokens),
    adapters: [...sum.adapters.keys()],
    models: new Map(sum.models),
  };
}
