import { createHash } from "node:crypto";
import type { EventLog } from "@banyanspool/logger";
import type { BackendServer } from "@banyanspool/types";

/** A replica with the version of the row that it was read from. */
export interface ListedReplica {
  readonly server: BackendServer;
  /** Row version; increases with each write. */
  readonly version: number;
}

/** A change of the replica list, passed on to gateways that haven't read it. */
export type ReplicaChange =
  | { readonly kind: "listed"; readonly listed: ListedReplica }
  | { readonly kind: "gone"; readonly id: string; readonly version: number };

/** Options of {@link ReplicaRegistry.create}. */
export interface ReplicaRegistryOptions {
  /** Structured log. */
  readonly log: EventLog;
  /**
   * Called with each change that this gateway finds in the list before another
   * gateway has reported it.
   */
  readonly onChange: (change: ReplicaChange) => void;
}

/**
 * Time after a store outage within which replicas write expired rows again, in
 * ms.
 */
const EXPIRED_ROW_GRACE_MS = 2500;
/** Tombstones kept, so that an older change doesn't restore a removed replica. */
const MAX_TOMBSTONES = 1000;

/**
 * The replicas that requests may be routed to. A replica that is missing from
 * the list is removed, but not right after a store outage: its row may have
 * expired meanwhile, and the replica gets some time to write it again. Row
 * versions order the list reads and the changes that other gateways report, so
 * that an older one never overrides a newer one.
 */
export class ReplicaRegistry {
  readonly #options: ReplicaRegistryOptions;
  readonly #replicas: Map<string, ListedReplica> = new Map();
  readonly #tombstones: Map<string, number> = new Map();
  #listVersion = 0;
  #digest: bigint | undefined;
  #hadOutage = false;
  #keepMissingUntil = -Infinity;

  private constructor(options: ReplicaRegistryOptions) {
    this.#options = options;
  }

  /** Creates an empty registry. */
  static create(options: ReplicaRegistryOptions): ReplicaRegistry {
    return new ReplicaRegistry(options);
  }

  /** All replicas, including draining ones. */
  get replicas(): BackendServer[] {
    return [...this.#replicas.values()].map(({ server }) => server);
  }

  /**
   * Digest of what requests are routed by: ids, starts, states, addresses and
   * services. Two gateways with equal digests know the same list.
   */
  get digest(): bigint {
    this.#digest ??= computeDigest(this.replicas);
    return this.#digest;
  }

  /** Records that the list could not be read. */
  recordReadFailure(): void {
    this.#hadOutage = true;
  }

  /** Applies a complete list, read at the given table version. */
  applyList(
    listed: readonly ListedReplica[],
    { version, now }: { version: number; now: number },
  ): void {
    // The list is older than one that was applied before.
    if (version < this.#listVersion) return;
    this.#listVersion = version;
    if (this.#hadOutage) this.#keepMissingUntil = now + EXPIRED_ROW_GRACE_MS;
    this.#hadOutage = false;
    const listedIds = new Set(listed.map(({ server }) => server.id));
    for (const entry of listed) {
      if (this.#applyRow(entry)) {
        this.#options.onChange({ kind: "listed", listed: entry });
      }
    }
    if (now < this.#keepMissingUntil) return;
    for (const [id, known] of this.#replicas) {
      if (listedIds.has(id) || known.version > version) continue;
      this.#remove(id, version);
      this.#options.onChange({ kind: "gone", id, version });
    }
  }

  /** Applies a change from another gateway; returns whether it was new. */
  applyPeerChange(change: ReplicaChange): boolean {
    if (change.kind === "listed") return this.#applyRow(change.listed);
    const known = this.#replicas.get(change.id);
    if (!known || known.version > change.version) return false;
    this.#remove(change.id, change.version);
    return true;
  }

  /**
   * Stores a newer row. Returns whether the replica is new or its start,
   * draining state, address, service or software has changed; a heartbeat changes
   * only the row's version.
   */
  #applyRow(listed: ListedReplica): boolean {
    const { server, version } = listed;
    const before = this.#replicas.get(server.id);
    if (before && before.version >= version) return false;
    if ((this.#tombstones.get(server.id) ?? -1) >= version) return false;
    this.#replicas.set(server.id, listed);
    this.#tombstones.delete(server.id);
    this.#digest = undefined;
    const { log } = this.#options;
    if (!before) {
      log.write("replica listed", {
        replica: server.id,
        service: server.service,
        address: server.address,
        row_version: version,
      });
      return true;
    }
    const hasDrainingChanged = server.draining !== before.server.draining;
    const hasRestarted = server.startedAt !== before.server.startedAt;
    if (hasDrainingChanged) {
      log.write("replica leaving", {
        replica: server.id,
        leaving: server.draining,
        row_version: version,
      });
    }
    if (hasRestarted) {
      log.write("replica restarted", {
        replica: server.id,
        row_version: version,
      });
    }
    return hasDrainingChanged || hasRestarted ||
      server.address !== before.server.address ||
      server.softwareVersion !== before.server.softwareVersion ||
      server.service !== before.server.service;
  }

  #remove(id: string, version: number): void {
    const known = this.#replicas.get(id);
    this.#replicas.delete(id);
    this.#digest = undefined;
    this.#tombstones.set(id, version);
    if (this.#tombstones.size > MAX_TOMBSTONES) {
      this.#tombstones.delete(this.#tombstones.keys().next().value!);
    }
    this.#options.log.write("replica gone", {
      replica: id,
      service: known?.server.service,
      list_version: version,
    });
  }
}

function computeDigest(replicas: readonly BackendServer[]): bigint {
  const lines = replicas.map((
    { id, startedAt, draining, address, service, softwareVersion },
  ) =>
    `${id} ${startedAt} ${draining} ${address} ${service} ${softwareVersion}`
  );
  return createHash("md5").update(lines.sort().join("\n")).digest()
    .readBigUInt64LE();
}
