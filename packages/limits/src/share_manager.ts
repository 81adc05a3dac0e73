import type { Clock } from "@banyanspool/types";
import type { Row, TableStore } from "@banyanspool/platform";
import { TokenShare } from "./token_share.ts";

/** Number of parts into which an organisation's limit is divided. */
export const PARTS_PER_LIMIT = 1_000_000;

const SHARE_PREFIX = "limits/share/";
const HOLDER_PREFIX = "limits/holder/";
/** Leases without renewal after which a gone holder's parts are reclaimed. */
const RECLAIM_AFTER_LEASES = 2;
/** Added to the demand of each entry that has recorded any. */
const DEMAND_FLOOR_TOKENS = 1;
/** Parts are given away once the share exceeds its target by this factor. */
const GIVE_ABOVE_TARGET_FACTOR = 1.2;

/** Stored row with the division of an organisation's limit. */
interface ShareRow {
  readonly parts: Readonly<Record<string, number>>;
  readonly freeParts: number;
  /** Bucket level of the free parts, in parts of the burst. */
  readonly freeLevel: number;
}

interface HolderRow {
  readonly renewal: number;
  readonly address: string;
  readonly demand: Readonly<Record<string, number>>;
}

interface HeldShare {
  readonly share: TokenShare;
  parts: number;
  /** True from a write without a response until a later write succeeds. */
  isAmbiguous: boolean;
}

/** Options of {@link ShareManager.create}. */
export interface ShareManagerOptions {
  /** Table that stores shares and holders. */
  readonly table: TableStore;
  /** Instance and incarnation of this entry, as `instance#incarnation`. */
  readonly holder: string;
  /** Internal address at which other entries borrow from this one. */
  readonly address: string;
  /** Time for which a renewal extends the lease, in ms. */
  readonly leaseMs: number;
  /** Time source. */
  readonly clock: Clock;
  /** Current rate and burst of an organisation, if it has a limit. */
  readonly limitOf: (
    organisation: string,
  ) => { ratePerS: number; burst: number } | undefined;
  /** Whether the platform no longer lists a holder's instance. */
  readonly isGone: (holder: string) => boolean;
}

/**
 * Reconciles this entry's shares with the table. Parts pass from one entry to
 * another only by transactions: the giving entry shrinks its share before its
 * commit, and the taking entry grows its share after its commit. A share may be
 * used only while the holder's lease is valid.
 */
export class ShareManager {
  readonly #options: ShareManagerOptions;
  readonly #heldShares: Map<string, HeldShare> = new Map();
  readonly #demand: Map<string, number> = new Map();
  readonly #holders: Map<string, { version: number; since: number }> =
    new Map();
  #lenderAddresses: Map<string, readonly string[]> = new Map();
  #renewedAt: number | undefined;
  #renewal = 0;
  #currentTick: Promise<void> | undefined;

  private constructor(options: ShareManagerOptions) {
    this.#options = options;
  }

  /** Creates a manager without shares or a lease. */
  static create(options: ShareManagerOptions): ShareManager {
    return new ShareManager(options);
  }

  /** Whether the lease is valid, so that shares may be used. */
  get isLeaseValid(): boolean {
    if (this.#renewedAt === undefined) return false;
    return this.#options.clock.now() - this.#renewedAt < this.#options.leaseMs;
  }

  /** Returns this entry's share of an organisation; creates it if absent. */
  share(organisation: string): TokenShare {
    return this.#heldShareOf(organisation).share;
  }

  /** Whether this entry has a part of the organisation's limit. */
  hasShare(organisation: string): boolean {
    return (this.#heldShares.get(organisation)?.parts ?? 0) > 0;
  }

  /** Internal addresses of other entries that hold parts of the limit. */
  lenders(organisation: string): readonly string[] {
    return this.#lenderAddresses.get(organisation) ?? [];
  }

  /** Counts requested tokens, by which the share is sized. */
  recordDemand(organisation: string, tokens: number): void {
    const before = this.#demand.get(organisation) ?? 0;
    this.#demand.set(organisation, before + tokens);
  }

  /**
   * Extends a valid lease to `confirmedAt`, at which peers confirmed that no
   * entry reaches the store: then no share can be reassigned either. A lapsed
   * lease stays lapsed.
   */
  extendLeaseDuringOutage(confirmedAt: number): void {
    if (!this.isLeaseValid) return;
    this.#renewedAt = Math.max(this.#renewedAt!, confirmedAt);
  }

  /** Applies changed limits to the shares. */
  resizeAll(): void {
    for (const [organisation, held] of this.#heldShares) {
      this.#resize(organisation, held);
    }
  }

  /** Renews the lease, then gives, takes and reclaims parts. */
  tick(): Promise<void> {
    this.#currentTick ??= this.#tickOnce().finally(() => {
      this.#currentTick = undefined;
    });
    return this.#currentTick;
  }

  /** Like {@link tick}, but never joins a tick that began before the call. */
  async tickAfterCurrent(): Promise<void> {
    await this.#currentTick;
    await this.tick();
  }

  async #tickOnce(): Promise<void> {
    const scanStartedAt = this.#options.clock.now();
    const rows = await this.#options.table.scan("limits/");
    if (!rows.ok) {
      this.#holders.clear();
      return;
    }
    if (!await this.#renew(rows.value, scanStartedAt)) return;
    this.#observeHolders(rows.value, scanStartedAt);
    for (const organisation of this.#demand.keys()) {
      this.#heldShareOf(organisation);
    }
    for (const organisation of this.#heldShares.keys()) {
      await this.#balance(organisation, rows.value);
    }
    await this.#reclaimAbandoned(rows.value);
    this.#decayDemand();
  }

  /** Releases all parts and the lease; the last step of a graceful shutdown. */
  async release(): Promise<void> {
    const rows = await this.#options.table.scan("limits/");
    if (!rows.ok) return;
    for (const organisation of this.#heldShares.keys()) {
      const row = findRow(rows.value, SHARE_PREFIX + organisation);
      if (!row) continue;
      const held = this.#heldShareOf(organisation);
      await this.#give(organisation, row, held.parts);
    }
    const own = findRow(rows.value, HOLDER_PREFIX + this.#options.holder);
    if (!own) return;
    await this.#options.table.commit({
      checks: [],
      puts: [{ key: own.key, value: null }],
    });
  }

  #heldShareOf(organisation: string): HeldShare {
    const known = this.#heldShares.get(organisation);
    if (known) return known;
    const share = TokenShare.create({ clock: this.#options.clock });
    const held = { share, parts: 0, isAmbiguous: false };
    this.#heldShares.set(organisation, held);
    return held;
  }

  #resize(organisation: string, held: HeldShare): void {
    const limit = this.#options.limitOf(organisation);
    const fraction = held.parts / PARTS_PER_LIMIT;
    held.share.resize(
      (limit?.ratePerS ?? 0) * fraction,
      (limit?.burst ?? 0) * fraction,
    );
  }

  async #renew(rows: readonly Row[], scanStartedAt: number): Promise<boolean> {
    const { holder, table, address } = this.#options;
    const key = HOLDER_PREFIX + holder;
    const row = findRow(rows, key);
    if (!row && this.#renewal > 0) this.#dropShares();
    this.#renewal += 1;
    const value: HolderRow = {
      renewal: this.#renewal,
      address,
      demand: Object.fromEntries(this.#demand),
    };
    const res = await table.commit({
      checks: [{ key, version: row?.version ?? 0 }],
      puts: [{ key, value: JSON.stringify(value) }],
    });
    if (!res.ok || res.value.kind === "conflict") return false;
    this.#renewedAt = scanStartedAt;
    return true;
  }

  /** Drops all shares after the holder row, and so all parts, was reclaimed. */
  #dropShares(): void {
    for (const [organisation, held] of this.#heldShares) {
      held.parts = 0;
      held.isAmbiguous = false;
      this.#resize(organisation, held);
    }
  }

  #observeHolders(rows: readonly Row[], now: number): void {
    const seen = new Set<string>();
    for (const row of rows) {
      if (!row.key.startsWith(HOLDER_PREFIX)) continue;
      const holder = row.key.slice(HOLDER_PREFIX.length);
      seen.add(holder);
      const known = this.#holders.get(holder);
      if (known?.version === row.version) continue;
      this.#holders.set(holder, { version: row.version, since: now });
    }
    for (const holder of this.#holders.keys()) {
      if (!seen.has(holder)) this.#holders.delete(holder);
    }
  }

  async #balance(organisation: string, rows: readonly Row[]): Promise<void> {
    const held = this.#heldShareOf(organisation);
    const row = findRow(rows, SHARE_PREFIX + organisation);
    const share = parseShare(row);
    this.#lenderAddresses.set(organisation, this.#findLenders(share, rows));
    const recorded = share.parts[this.#options.holder] ?? 0;
    if (!held.isAmbiguous && recorded !== held.parts) {
      held.parts = recorded;
      this.#resize(organisation, held);
    }
    if (held.isAmbiguous) {
      await this.#resolveAmbiguity(organisation, row, share);
      return;
    }
    const target = this.#targetParts(organisation, rows);
    if (held.parts > target * GIVE_ABOVE_TARGET_FACTOR) {
      await this.#give(organisation, row, held.parts - target);
      return;
    }
    const wanted = Math.min(target - held.parts, share.freeParts);
    if (wanted > 0) await this.#take(organisation, row, wanted);
  }

  #findLenders(share: ShareRow, rows: readonly Row[]): readonly string[] {
    const addresses: string[] = [];
    for (const [holder, parts] of Object.entries(share.parts)) {
      if (holder === this.#options.holder || parts === 0) continue;
      const row = findRow(rows, HOLDER_PREFIX + holder);
      if (row) addresses.push(parseHolder(row).address);
    }
    return addresses;
  }

  #targetParts(organisation: string, rows: readonly Row[]): number {
    const demand = this.#demand.get(organisation);
    const own = demand === undefined ? 0 : demand + DEMAND_FLOOR_TOKENS;
    let sum = own;
    for (const row of rows) {
      if (!row.key.startsWith(HOLDER_PREFIX)) continue;
      if (row.key === HOLDER_PREFIX + this.#options.holder) continue;
      const otherDemand = parseHolder(row).demand[organisation];
      if (otherDemand !== undefined) sum += otherDemand + DEMAND_FLOOR_TOKENS;
    }
    return sum === 0 ? 0 : Math.floor(PARTS_PER_LIMIT * own / sum);
  }

  async #give(
    organisation: string,
    row: Row | undefined,
    parts: number,
  ): Promise<void> {
    const held = this.#heldShareOf(organisation);
    const limit = this.#options.limitOf(organisation);
    if (!row || held.parts === 0) return;
    const given = Math.min(
      Math.ceil(parts),
      this.#unoccupiedParts(organisation),
    );
    if (given <= 0) return;
    const proportion = given / held.parts;
    const level = held.share.withdraw(held.share.level * proportion);
    held.parts -= given;
    this.#resize(organisation, held);
    const levelParts = limit
      ? Math.floor(PARTS_PER_LIMIT * level / limit.burst)
      : 0;
    const share = parseShare(row);
    await this.#commitShare(organisation, row, {
      parts: { ...share.parts, [this.#options.holder]: held.parts },
      freeParts: share.freeParts + given,
      freeLevel: share.freeLevel + Math.min(levelParts, given),
    });
  }

  /** Number of parts whose capacity no reservation or loan occupies. */
  #unoccupiedParts(organisation: string): number {
    const { share, parts } = this.#heldShareOf(organisation);
    const burst = this.#options.limitOf(organisation)?.burst ?? 0;
    if (burst === 0) return 0;
    const occupied = Math.ceil(
      (share.reserved + share.lent) / burst * PARTS_PER_LIMIT,
    );
    return Math.max(0, parts - occupied);
  }

  async #take(
    organisation: string,
    row: Row | undefined,
    parts: number,
  ): Promise<void> {
    const held = this.#heldShareOf(organisation);
    const share = parseShare(row);
    const level = Math.floor(share.freeLevel * parts / share.freeParts);
    const outcome = await this.#commitShare(organisation, row, {
      parts: { ...share.parts, [this.#options.holder]: held.parts + parts },
      freeParts: share.freeParts - parts,
      freeLevel: share.freeLevel - level,
    });
    if (outcome !== "committed") return;
    held.parts += parts;
    this.#resize(organisation, held);
    const burst = this.#options.limitOf(organisation)?.burst ?? 0;
    held.share.deposit(burst * level / PARTS_PER_LIMIT);
  }

  /** Rewrites the row, so that an earlier write still in transit conflicts. */
  async #resolveAmbiguity(
    organisation: string,
    row: Row | undefined,
    share: ShareRow,
  ): Promise<void> {
    const held = this.#heldShareOf(organisation);
    held.isAmbiguous = false;
    const outcome = await this.#commitShare(organisation, row, share);
    if (outcome !== "committed") {
      held.isAmbiguous = true;
      return;
    }
    held.parts = share.parts[this.#options.holder] ?? 0;
    this.#resize(organisation, held);
  }

  async #commitShare(
    organisation: string,
    row: Row | undefined,
    share: ShareRow,
  ): Promise<"committed" | "conflict" | "unknown"> {
    const key = SHARE_PREFIX + organisation;
    const res = await this.#options.table.commit({
      checks: [{ key, version: row?.version ?? 0 }],
      puts: [{ key, value: JSON.stringify(dropEmpty(share)) }],
    });
    if (res.ok && res.value.kind === "committed") return "committed";
    if (res.ok) return "conflict";
    // The write may still arrive, so the row as read may be out of date.
    this.#heldShareOf(organisation).isAmbiguous = true;
    return "unknown";
  }

  async #reclaimAbandoned(rows: readonly Row[]): Promise<void> {
    const now = this.#options.clock.now();
    const afterMs = this.#options.leaseMs * RECLAIM_AFTER_LEASES;
    for (const [holder, { version, since }] of this.#holders) {
      if (holder === this.#options.holder) continue;
      if (now - since < afterMs) continue;
      const isGone = this.#options.isGone(holder) ||
        this.#isSuperseded(holder);
      if (!isGone) continue;
      await this.#reclaim(holder, version, rows);
    }
  }

  /** Whether a later incarnation of the same instance has a lease. */
  #isSuperseded(holder: string): boolean {
    const [instance, incarnation] = splitHolder(holder);
    for (const other of this.#holders.keys()) {
      const [otherInstance, otherIncarnation] = splitHolder(other);
      if (otherInstance !== instance) continue;
      if (otherIncarnation > incarnation) return true;
    }
    return false;
  }

  async #reclaim(
    holder: string,
    version: number,
    rows: readonly Row[],
  ): Promise<void> {
    const key = HOLDER_PREFIX + holder;
    const shares = rows.filter((row) =>
      row.key.startsWith(SHARE_PREFIX) && holder in parseShare(row).parts
    );
    const puts = shares.map((row) => {
      const share = parseShare(row);
      const { [holder]: freed = 0, ...parts } = share.parts;
      const freeParts = share.freeParts + freed;
      return {
        key: row.key,
        value: JSON.stringify({ ...share, parts, freeParts }),
      };
    });
    // The check of the holder row's version lets a concurrent renewal win.
    await this.#options.table.commit({
      checks: [
        { key, version },
        ...shares.map((row) => ({ key: row.key, version: row.version })),
      ],
      puts: [...puts, { key, value: null }],
    });
  }

  #decayDemand(): void {
    for (const [organisation, tokens] of this.#demand) {
      const decayed = tokens * DEMAND_DECAY_PER_TICK;
      if (decayed >= 1) this.#demand.set(organisation, decayed);
      else this.#demand.set(organisation, 0);
    }
  }
}

const DEMAND_DECAY_PER_TICK = 0.8;

function findRow(rows: readonly Row[], key: string): Row | undefined {
  return rows.find((row) => row.key === key);
}

function parseShare(row: Row | undefined): ShareRow {
  if (row) return JSON.parse(row.value) as ShareRow;
  // No entry has ever held a part, so the bucket may start full.
  return { parts: {}, freeParts: PARTS_PER_LIMIT, freeLevel: PARTS_PER_LIMIT };
}

function splitHolder(holder: string): [instance: string, incarnation: number] {
  const [instance = "", incarnation = "0"] = holder.split("#");
  return [instance, Number(incarnation)];
}

function parseHolder(row: Row): HolderRow {
  return JSON.parse(row.value) as HolderRow;
}

function dropEmpty(share: ShareRow): ShareRow {
  const parts = Object.fromEntries(
    Object.entries(share.parts).filter(([, value]) => value > 0),
  );
  return { ...share, parts };
}
