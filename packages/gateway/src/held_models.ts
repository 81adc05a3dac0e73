import type { AvailableModels } from "@banyanspool/routing";
import type { HeldModels, ReplicaHoldings } from "@banyanspool/wire";

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

/**
 * Available models as the lease holder publishes them. Each change gets a
 * version, so that a gateway is sent only what changed since the version that
 * it knows.
 */
export class HeldModelsPublisher {
  readonly #replicas: Map<string, PublishedReplica> = new Map();
  #version = 0;

  private constructor() {}

  /** Creates a publisher without replicas. */
  static create(): HeldModelsPublisher {
    return new HeldModelsPublisher();
  }

  /** Newest version; 0 if nothing was published. */
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
    if (hasChanged) this.#version = next;
    return hasChanged;
  }

  /** Returns what changed after a version; all replicas for version 0. */
  changesSince(
    baseVersion: number,
  ): Pick<HeldModels, "version" | "baseVersion" | "replicas"> {
    const replicas: ReplicaHoldings[] = [];
    for (const published of this.#replicas.values()) {
      if (published.changedIn <= baseVersion) continue;
      if (baseVersion === 0 && published.isUnknown) continue;
      replicas.push({
        $typeName: "banyanspool.v1.ReplicaHoldings",
        replica: published.replica,
        startedAt: BigInt(published.startedAt),
        names: [...published.names],
        unknown: published.isUnknown,
      });
    }
    return {
      version: BigInt(this.#version),
      baseVersion: BigInt(baseVersion),
      replicas,
    };
  }
}

/** Available models as a gateway knows them from the lease holder's messages. */
export class HeldModelsView {
  #fencingToken = 0n;
  #version = 0n;
  #replicas: Map<string, AvailableModels> = new Map();

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
    return this.#replicas;
  }

  /**
   * Applies a message. Returns false if it can't be applied, because the view
   * lacks changes before the message's base or the message is older.
   */
  apply(message: HeldModels): boolean {
    const { fencingToken, version, baseVersion, replicas } = message;
    if (fencingToken < this.#fencingToken) return false;
    if (fencingToken > this.#fencingToken) {
      this.#fencingToken = fencingToken;
      this.#version = 0n;
    }
    if (baseVersion > this.#version || version < this.#version) return false;
    const isFirst = this.#version === 0n;
    // What the previous holder announced counts until its successor, which has
    // to read all reports first, announces something else.
    const keepsKnown = isFirst || baseVersion > 0n;
    const next = keepsKnown ? new Map(this.#replicas) : new Map();
    for (const { replica, startedAt, names, unknown } of replicas) {
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
