import type { EventLog } from "@banyanspool/logger";
import type { BackendServer } from "@banyanspool/types";

/** A replica as one version of its row describes it. */
export interface ListedReplica {
  /** The replica. */
  readonly server: BackendServer;
  /** Version of its row; rises with each write. */
  readonly version: number;
}

/** Something that other gateways should know of before they read the list. */
export type ReplicaChange =
  | { readonly kind: "listed"; readonly listed: ListedReplica }
  | { readonly kind: "gone"; readonly id: string; readonly version: number };

/** Options of {@link ReplicaRegistry.create}. */
export interface ReplicaRegistryOptions {
  /** Structured log. */
  readonly log: EventLog;
  /** Called with each change that this gateway was the first to read. */
  readonly onChange: (change: ReplicaChange) => void;
}

/** Rows that lapsed during an outage are written again within this time. */
const REAPPEAR_MS = 2500;
/** Removed replicas that are remembered, against older news of them. */
const MAX_GONE = 1000;

/**
 * The replicas to use. One that is missing from the list is gone, unless the
 * store was away: its row may have lapsed meanwhile, and the replica gets
 * some time to write it again. News of other gateways count by the versions
 * of rows, so that older news never undo newer ones.
 */
export class ReplicaRegistry {
  readonly #options: ReplicaRegistryOptions;
  readonly #known: Map<string, ListedReplica> = new Map();
  readonly #gone: Map<string, number> = new Map();
  #listVersion = 0;
  #hadOutage = false;
  #keepMissingUntil = -Infinity;

  private constructor(options: ReplicaRegistryOptions) {
    this.#options = options;
  }

  /** Creates an empty roster. */
  static create(options: ReplicaRegistryOptions): ReplicaRegistry {
    return new ReplicaRegistry(options);
  }

  /** The replicas to use. */
  get replicas(): BackendServer[] {
    return [...this.#known.values()].map(({ server }) => server);
  }

  /** Notes that the list could not be read. */
  recordReadFailure(): void {
    this.#hadOutage = true;
  }

  /** Takes in a list that was read. */
  applyList(
    listed: readonly ListedReplica[],
    { version, now }: { version: number; now: number },
  ): void {
    // A read that lags behind an earlier one tells nothing new.
    if (version < this.#listVersion) return;
    this.#listVersion = version;
    if (this.#hadOutage) this.#keepMissingUntil = now + REAPPEAR_MS;
    this.#hadOutage = false;
    const seen = new Set(listed.map(({ server }) => server.id));
    for (const entry of listed) {
      if (this.#take(entry)) {
        this.#options.onChange({ kind: "listed", listed: entry });
      }
    }
    if (now < this.#keepMissingUntil) return;
    for (const [id, known] of this.#known) {
      if (seen.has(id) || known.version > version) continue;
      this.#remove(id, version);
      this.#options.onChange({ kind: "gone", id, version });
    }
  }

  /** Takes in news of another gateway; returns whether they were new. */
  applyPeerChange(change: ReplicaChange): boolean {
    if (change.kind === "listed") return this.#take(change.listed);
    const known = this.#known.get(change.id);
    if (!known || known.version > change.version) return false;
    this.#remove(change.id, change.version);
    return true;
  }

  /** Returns whether more than the row's version has changed. */
  #take(listed: ListedReplica): boolean {
    const { server, version } = listed;
    const before = this.#known.get(server.id);
    if (before && before.version >= version) return false;
    if ((this.#gone.get(server.id) ?? -1) >= version) return false;
    this.#known.set(server.id, listed);
    this.#gone.delete(server.id);
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
    const isLeaving = server.leaving !== before.server.leaving;
    const isRestarted = server.startedAt !== before.server.startedAt;
    if (isLeaving) {
      log.write("replica leaving", {
        replica: server.id,
        leaving: server.leaving,
        row_version: version,
      });
    }
    if (isRestarted) {
      log.write("replica restarted", {
        replica: server.id,
        row_version: version,
      });
    }
    return isLeaving || isRestarted ||
      server.address !== before.server.address ||
      server.service !== before.server.service;
  }

  #remove(id: string, version: number): void {
    const known = this.#known.get(id);
    this.#known.delete(id);
    this.#gone.set(id, version);
    if (this.#gone.size > MAX_GONE) {
      this.#gone.delete(this.#gone.keys().next().value!);
    }
    this.#options.log.write("replica gone", {
      replica: id,
      service: known?.server.service,
      list_version: version,
    });
  }
}
