/** A replica that has the base model of a requested adapter. */
export interface AdapterHost {
  /** Replica id. */
  readonly replica: string;
  /** Adapters resident or being loaded, as `model/adapter`. */
  readonly adapters: readonly string[];
  /** Adapters in use by in-flight requests, as `model/adapter`. */
  readonly inUse: ReadonlySet<string>;
  /** Time of the last request for each adapter; smaller is longer ago. */
  readonly lastUsed: ReadonlyMap<string, number>;
  /** Most adapters that the replica can hold. */
  readonly adapterSlots: number;
  /** Tasks queued at the replica's engine, including the running one. */
  readonly queuedTasks: number;
}

/** The replica that loads an adapter, and the adapter to evict for it. */
export interface AdapterLoadPlan {
  /** Replica id. */
  readonly replica: string;
  /** Adapter to evict first, as `model/adapter`, if all slots are taken. */
  readonly evict?: string;
}

/**
 * Chooses a replica to load an adapter that is resident nowhere. Replicas with
 * the fewest queued tasks come first; among these, one with a free slot, else
 * the one whose least recently used idle adapter is the oldest. Adapters in use
 * are never evicted; undefined if no replica can load the adapter.
 */
export function planAdapterLoad(
  hosts: readonly AdapterHost[],
): AdapterLoadPlan | undefined {
  let best: AdapterLoadPlan | undefined;
  let bestCost = Infinity;
  for (const host of hosts) {
    const plan = planAtHost(host);
    if (!plan) continue;
    const cost = host.queuedTasks * QUEUED_ORDER_COST +
      (plan.evict === undefined
        ? host.adapters.length - host.adapterSlots
        : EVICTION_COST + plan.lastUsed);
    if (cost >= bestCost) continue;
    bestCost = cost;
    best = { replica: host.replica, evict: plan.evict };
  }
  return best;
}

/** A queued task delays a load more than any difference in age saves. */
const QUEUED_ORDER_COST = 1e12;
/** A free slot is always better than an eviction. */
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
