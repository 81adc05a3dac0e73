/** A replica that holds the base model of a wanted adapter. */
export interface AdapterHost {
  /** Replica id. */
  readonly replica: string;
  /** Adapters there or on their way, as `model/adapter`. */
  readonly adapters: readonly string[];
  /** Adapters that requests in flight use, as `model/adapter`. */
  readonly inUse: ReadonlySet<string>;
  /** When each adapter was last asked for; smaller is longer ago. */
  readonly lastUsed: ReadonlyMap<string, number>;
  /** Adapters that it can hold. */
  readonly adapterSlots: number;
  /** Orders that wait for it; fewer is better. */
  readonly queuedOrders: number;
}

/** Where a wanted adapter goes, and what makes way for it. */
export interface AdapterLoadPlan {
  /** Replica id. */
  readonly replica: string;
  /** Adapter to unload first, as `model/adapter`, if the replica is full. */
  readonly evict?: string;
}

/**
 * Chooses a replica for an adapter that none holds: one with a free place,
 * else the one whose least recently used idle adapter is the oldest. Adapters
 * in use are never evicted, so the answer may be nowhere.
 */
export function planAdapterLoad(
  hosts: readonly AdapterHost[],
): AdapterLoadPlan | undefined {
  let best: AdapterLoadPlan | undefined;
  let bestCost = Infinity;
  for (const host of hosts) {
    const move = planAtHost(host);
    if (!move) continue;
    const cost = host.queuedOrders * QUEUED_ORDER_COST +
      (move.evict === undefined
        ? host.adapters.length - host.adapterSlots
        : EVICTION_COST + move.lastUsed);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { replica: host.replica, evict: move.evict };
  }
  return best;
}

/** A queued order delays an adapter more than any difference in age saves. */
const QUEUED_ORDER_COST = 1e12;
/** A free place is always better than an eviction. */
const EVICTION_COST = 1e6;

function planAtHost(
  host: AdapterHost,
): { evict?: string; lastUsed: number } | undefined {
  if (host.adapters.length < host.adapterSlots) return { lastUsed: 0 };
  let evict: string | undefined;
  let oldest = Infinity;
  for (const adapter of host.adapters) {
    if (host.inUse.has(adapter)) continue;
    const lastUsed = host.lastUsed.get(adapter) ?? 0;
    if (lastUsed >= oldest) continue;
    oldest = lastUsed;
    evict = adapter;
  }
  return evict === undefined ? undefined : { evict, lastUsed: oldest };
}
