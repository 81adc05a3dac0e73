import { createHash } from "node:crypto";
import type { EventLog } from "@banyanspool/logger";
import { comparePositions, type StorePosition } from "@banyanspool/platform";
import {
  type BackendServer,
  incarnationOf,
  isEarlierRow,
} from "@banyanspool/types";

/** A replica with the position at which its row was last written. */
export interface ListedReplica {
  readonly server: BackendServer;
  readonly position: StorePosition;
}

/** A replica that is no longer listed, with what its last row said of it. */
export interface GoneReplica {
  readonly server: Pick<BackendServer, "id" | "startedAt" | "sequence">;
  /** Position of the list from which it was missing. */
  readonly position: StorePosition;
}

/** A change of the replica list, passed on to gateways that haven't read it. */
export type ReplicaChange =
  | ({ readonly kind: "listed" } & ListedReplica)
  | ({ readonly kind: "gone" } & GoneReplica);

interface Tombstone extends GoneReplica {
  /**
   * Until when its row in a copy that the store was restored from is ignored;
   * undefined while there is none.
   */
  readonly ignoredUntil?: number;
}

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
/**
 * Time after which a row that a restore has brought back counts, in ms. The store
 * would have removed it by then if the replica were silent.
 */
const RESTORED_ROW_HOLD_MS = 5000;
/** Tombstones kept, so that an older change doesn't restore a removed replica. */
const MAX_TOMBSTONES = 1000;
/** Incarnations kept that said that they leave, so that no row brings one back. */
const MAX_LEAVING = 4000;

/**
 * The replicas that requests may be routed to. A replica that is missing from
 * the list is removed, but not right after a store outage: its row may have
 * expired meanwhile, and the replica gets some time to write it again. Positions
 * order the list reads and the changes that other gateways report, so that an
 * older one never overrides a newer one.
 *
 * When the store was restored from a copy, the list is as it was some time ago,
 * until the replicas have written their rows again. A row that the replica wrote
 * before one that is known doesn't override it.
 *
 * A replica that says in a response that it leaves is draining for the rest of
 * its life, whatever its row says.
 */
export class ReplicaRegistry {
  readonly #options: ReplicaRegistryOptions;
  readonly #replicas: Map<string, ListedReplica> = new Map();
  readonly #tombstones: Map<string, Tombstone> = new Map();
  /** Incarnations that said in a response that they leave. */
  readonly #leaving: Set<string> = new Set();
  #listPosition: StorePosition | undefined;
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

  /** Listed incarnations that said in a response that they leave. */
  get leaving(): string[] {
    if (this.#leaving.size === 0) return [];
    return this.replicas.map(incarnationOf)
      .filter((incarnation) => this.#leaving.has(incarnation));
  }

  /**
   * Records that an incarnation said in a response that it leaves. Returns whether
   * a replica is draining that wasn't before.
   */
  markLeaving(incarnation: string): boolean {
    if (this.#leaving.has(incarnation)) return false;
    this.#leaving.add(incarnation);
    if (this.#leaving.size > MAX_LEAVING) {
      this.#leaving.delete(this.#leaving.values().next().value!);
    }
    for (const [id, listed] of this.#replicas) {
      const { server, position } = listed;
      if (incarnationOf(server) !== incarnation || server.draining) continue;
      this.#replicas.set(id, { server: this.#asKnown(server), position });
      this.#digest = undefined;
      this.#options.log.write("replica leaving", {
        replica: id,
        leaving: true,
        said_in: "response",
      });
      return true;
    }
    return false;
  }

  /** A row's replica, which drains if it said in a response that it leaves. */
  #asKnown(server: BackendServer): BackendServer {
    if (server.draining || !this.#leaving.has(incarnationOf(server))) {
      return server;
    }
    return { ...server, draining: true };
  }

  /** Records that the list could not be read. */
  recordReadFailure(): void {
    this.#hadOutage = true;
  }

  /** Applies a complete list, read at the given position of the store. */
  applyList(
    listed: readonly ListedReplica[],
    { position, now }: { position: StorePosition; now: number },
  ): void {
    const before = this.#listPosition;
    // The list is older than one that was applied before.
    if (before && comparePositions(position, before) < 0) return;
    this.#listPosition = position;
    const wasRestored = before !== undefined && before.epoch < position.epoch;
    if (this.#hadOutage || wasRestored) {
      this.#keepMissingUntil = now + EXPIRED_ROW_GRACE_MS;
    }
    this.#hadOutage = false;
    const listedIds = new Set(listed.map(({ server }) => server.id));
    for (const entry of listed) {
      if (this.#applyRow(entry, now)) {
        this.#options.onChange({ kind: "listed", ...entry });
      }
    }
    if (now < this.#keepMissingUntil) return;
    for (const [id, known] of this.#replicas) {
      if (listedIds.has(id)) continue;
      if (comparePositions(known.position, position) > 0) continue;
      this.#remove({ server: known.server, position });
      const { startedAt, sequence } = known.server;
      const server = { id, startedAt, sequence };
      this.#options.onChange({ kind: "gone", server, position });
    }
  }

  /** Applies a change from another gateway; returns whether it was new. */
  applyPeerChange(change: ReplicaChange): boolean {
    if (change.kind === "listed") return this.#applyRow(change);
    const known = this.#replicas.get(change.server.id);
    if (!known) return false;
    const isNewer = comparePositions(known.position, change.position) <= 0;
    if (!isNewer && !this.#isRestoredRow(known, change)) return false;
    const position = isNewer ? change.position : known.position;
    this.#remove({ server: change.server, position });
    return true;
  }

  /**
   * Stores a newer row. Returns whether the replica is new or its start,
   * draining state, address, service or software has changed; a heartbeat changes
   * only the row's position.
   */
  #applyRow(row: ListedReplica, now?: number): boolean {
    const { position } = row;
    const server = this.#asKnown(row.server);
    const before = this.#replicas.get(server.id);
    if (before) {
      if (comparePositions(before.position, position) >= 0) return false;
      if (
        before.position.epoch < position.epoch &&
        isEarlierRow(server, before.server)
      ) {
        this.#replicas.set(server.id, { server: before.server, position });
        return false;
      }
    }
    if (this.#isHeldBack({ server, position }, now)) return false;
    this.#replicas.set(server.id, { server, position });
    this.#tombstones.delete(server.id);
    this.#digest = undefined;
    const { log } = this.#options;
    const { epoch, version } = position;
    if (!before) {
      log.write("replica listed", {
        replica: server.id,
        service: server.service,
        address: server.address,
        row_version: version,
        epoch,
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
        epoch,
      });
    }
    if (hasRestarted) {
      log.write("replica restarted", {
        replica: server.id,
        row_version: version,
        epoch,
      });
    }
    // The time only falls from row to row, unless it has become cold again.
    const isNewlyCold = (server.coldForMs ?? 0) >
      Math.max(0, before.server.coldForMs ?? 0);
    return hasDrainingChanged || hasRestarted || isNewlyCold ||
      server.address !== before.server.address ||
      server.softwareVersion !== before.server.softwareVersion ||
      server.service !== before.server.service;
  }

  /**
   * Whether a row must not bring back a replica that was removed: it is older than
   * the removal, or a restore has brought it back.
   */
  #isHeldBack(row: ListedReplica, now: number | undefined): boolean {
    const tombstone = this.#tombstones.get(row.server.id);
    if (!tombstone) return false;
    const order = comparePositions(tombstone.position, row.position);
    if (order > 0) return true;
    if (order < 0 && !this.#isRestoredRow(row, tombstone)) return false;
    if (now === undefined) return true;
    const { ignoredUntil } = tombstone;
    if (order === 0 && ignoredUntil !== undefined) return now < ignoredUntil;
    this.#tombstones.set(row.server.id, {
      server: tombstone.server,
      position: row.position,
      ignoredUntil: now + RESTORED_ROW_HOLD_MS,
    });
    return true;
  }

  /** Whether a row is from before a removal, and a restore has brought it back. */
  #isRestoredRow(row: ListedReplica, removal: GoneReplica): boolean {
    return removal.position.epoch < row.position.epoch &&
      !isEarlierRow(removal.server, row.server);
  }

  #remove({ server, position }: GoneReplica): void {
    const { id } = server;
    const known = this.#replicas.get(id);
    this.#replicas.delete(id);
    this.#digest = undefined;
    this.#tombstones.set(id, { server, position });
    if (this.#tombstones.size > MAX_TOMBSTONES) {
      this.#tombstones.delete(this.#tombstones.keys().next().value!);
    }
    this.#options.log.write("replica gone", {
      replica: id,
      service: known?.server.service,
      list_version: position.version,
      epoch: position.epoch,
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
