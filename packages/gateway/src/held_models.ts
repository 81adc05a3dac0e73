import type { AvailableModels } from "@banyanspool/routing";
import {
  type HeldModels,
  type ReplicaHoldings,
  toUint64,
} from "@banyanspool/wire";

/** What the holder of the placement lease knows of one replica. */
export interface ReplicaModels {
  /** Replica id. */
  readonly replica: string;
  /** Start time of the replica process, Unix ms. */
  readonly startedAt: number;
  /** Available models, and adapters as `model/adapter`. */
  readonly names: readonly string[];
}

interface PublishedReplica extends ReplicaModels {
  readonly changedIn: number;
  readonly isUnknown: boolean;
}

/** Replicas kept as unknown, for gateways that know an older version. */
const MAX_UNKNOWN_REPLICAS = 100;

/**
 * Available models as the lease holder publishes them. Each change gets a
 * version, so that a gateway is sent only what changed since the version that
 * it knows.
 */
export class HeldModelsPublisher {
  readonly #replicas: Map<string, PublishedReplica> = new Map();
  #version: number;
  /** Changes since an older version are no longer complete. */
  #completeSince: number;

  private constructor(firstVersion: number) {
    this.#version = firstVersion;
    this.#completeSince = firstVersion;
  }

  /**
   * Creates a publisher without replicas. Versions are counted from
   * `firstVersion`, which is above those of the process's earlier lives.
   */
  static create(
    { firstVersion = 0 }: { firstVersion?: number } = {},
  ): HeldModelsPublisher {
    return new HeldModelsPublisher(firstVersion);
  }

  /** Newest version. */
  get version(): number {
    return this.#version;
  }

  /** What is published of a replica; undefined if nothing is. */
  get(replica: string): ReplicaModels | undefined {
    const published = this.#replicas.get(replica);
    return published?.isUnknown ? undefined : published;
  }

  /**
   * Replaces the published state, but for unsettled replicas, whose reports have
   * to be read: of these, what was published before still counts. Returns whether
   * anything changed.
   */
  update(
    current: readonly ReplicaModels[],
    unsettled: ReadonlySet<string> = new Set(),
  ): boolean {
    const next = this.#version + 1;
    let hasChanged = false;
    const missing = new Set(this.#replicas.keys());
    for (const models of current) {
      missing.delete(models.replica);
      const published = this.#replicas.get(models.replica);
      if (published && !published.isUnknown && isEqual(published, models)) {
        continue;
      }
      hasChanged = true;
      this.#replicas.set(models.replica, {
        ...models,
        changedIn: next,
        isUnknown: false,
      });
    }
    for (const replica of missing) {
      const published = this.#replicas.get(replica)!;
      if (published.isUnknown || unsettled.has(replica)) continue;
      hasChanged = true;
      this.#replicas.set(replica, {
        ...published,
        names: [],
        changedIn: next,
        isUnknown: true,
      });
    }
    if (!hasChanged) return false;
    this.#version = next;
    this.#forgetUnknown();
    return true;
  }

  /** Returns what changed after a version; all replicas for an old version. */
  changesSince(
    version: number,
  ): Pick<HeldModels, "version" | "baseVersion" | "replicas"> {
    // A version above the newest one is from an earlier life, before which the
    // wall clock was set back.
    const isKnown = version >= this.#completeSince && version <= this.#version;
    const baseVersion = isKnown ? version : 0;
    const replicas: ReplicaHoldings[] = [];
    if (baseVersion === this.#version) return this.#describe(version, replicas);
    for (const published of this.#replicas.values()) {
      if (published.changedIn <= baseVersion) continue;
      if (baseVersion === 0 && published.isUnknown) continue;
      replicas.push({
        $typeName: "banyanspool.v1.ReplicaHoldings",
        replica: published.replica,
        startedAt: toUint64(published.startedAt),
        names: [...published.names],
        unknown: published.isUnknown,
      });
    }
    return this.#describe(baseVersion, replicas);
  }

  #describe(
    baseVersion: number,
    replicas: ReplicaHoldings[],
  ): Pick<HeldModels, "version" | "baseVersion" | "replicas"> {
    return {
      version: BigInt(this.#version),
      baseVersion: BigInt(baseVersion),
      replicas,
    };
  }

  /** Forgets the replicas that have been unknown for longest. */
  #forgetUnknown(): void {
    const unknown = [...this.#replicas.values()]
      .filter(({ isUnknown }) => isUnknown)
      .sort((a, b) => a.changedIn - b.changedIn);
    const forgotten = unknown.slice(0, -MAX_UNKNOWN_REPLICAS);
    for (const { replica, changedIn } of forgotten) {
      this.#replicas.delete(replica);
      this.#completeSince = Math.max(this.#completeSince, changedIn);
    }
  }
}

/** Available models as a gateway knows them from the lease holder's messages. */
export class HeldModelsView {
  #fencingToken = 0n;
  #publisher: string | undefined;
  #version = 0n;
  #replicas: Map<string, AvailableModels> = new Map();
  /**
   * What earlier holders announced of replicas of which the current one, which
   * has to read all reports first, has said nothing yet.
   */
  readonly #earlier: Map<string, AvailableModels> = new Map();

  private constructor() {}

  /** Creates a view that knows nothing. */
  static create(): HeldModelsView {
    return new HeldModelsView();
  }

  /** Fencing token of the holder whose models are known; 0 if none. */
  get fencingToken(): bigint {
    return this.#fencingToken;
  }

  /** Version that is known completely; 0 if none. */
  get version(): bigint {
    return this.#version;
  }

  /** Available models by replica. */
  get replicas(): ReadonlyMap<string, AvailableModels> {
    return new Map([...this.#earlier, ...this.#replicas]);
  }

  /** Forgets what earlier holders announced of replicas not listed any more. */
  retainEarlier(listed: ReadonlySet<string>): void {
    for (const replica of this.#earlier.keys()) {
      if (!listed.has(replica)) this.#earlier.delete(replica);
    }
  }

  /**
   * Applies a message of a publisher, which is named with its incarnation: a
   * holder that starts again within its lease counts versions anew. Returns false
   * if the message can't be applied, because the view lacks changes before its
   * base or the message is older.
   */
  apply(message: HeldModels, publisher: string): boolean {
    const { fencingToken, version, baseVersion, replicas } = message;
    if (fencingToken < this.#fencingToken) return false;
    if (
      fencingToken > this.#fencingToken || publisher !== this.#publisher
    ) {
      this.#fencingToken = fencingToken;
      this.#publisher = publisher;
      this.#version = 0n;
      for (const [id, models] of this.#replicas) this.#earlier.set(id, models);
      this.#replicas = new Map();
    }
    if (baseVersion > this.#version || version < this.#version) return false;
    const next = baseVersion > 0n ? new Map(this.#replicas) : new Map();
    for (const { replica, startedAt, names, unknown } of replicas) {
      this.#earlier.delete(replica);
      if (unknown) {
        next.delete(replica);
        continue;
      }
      next.set(replica, {
        startedAt: Number(startedAt),
        names: new Set(names),
      });
    }
    this.#replicas = next;
    this.#version = version;
    return true;
  }
}

function isEqual(a: ReplicaModels, b: ReplicaModels): boolean {
  return a.startedAt === b.startedAt && a.names.length === b.names.length &&
    a.names.every((name, i) => name === b.names[i]);
}
