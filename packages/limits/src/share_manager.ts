import type { Clock } from "@banyanspool/types";
import type { Row, TableStore } from "@banyanspool/platform";
import { TokenShare } from "./token_share.ts";

/** Parts that make up an organisation's whole limit. */
export const PARTS_PER_LIMIT = 1_000_000;

const SHARE_PREFIX = "limits/share/";
const HOLDER_PREFIX = "limits/holder/";
const ABANDONED_LEASES = 2;
const DEMAND_FLOOR_TOKENS_PER_S = 1;
const GIVE_THRESHOLD = 1.2;

/** How an organisation's limit is divided, as its row holds it. */
interface ShareRow {
  readonly parts: Readonly<Record<string, number>>;
  readonly freeParts: number;
  /** Level that belongs to the free parts, in parts of the burst. */
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
  /** Set after a lost answer until a newer write of the row is known. */
  ambiguous: boolean;
}

/** Options of {@link ShareManager.create}. */
export interface ShareManagerOptions {
  /** Table with the rows. */
  readonly table: TableStore;
  /** Instance and incarnation of this entry, as `instance#incarnation`. */
  readonly holder: string;
  /** Internal address of this entry, where others borrow. */
  readonly address: string;
  /** Time that a renewal lasts, in ms. */
  readonly leaseMs: number;
  /** Time source. */
  readonly clock: Clock;
  /** Rate and burst of an organisation now. */
  readonly limitOf: (
    organisation: string,
  ) => { ratePerS: number; burst: number } | undefined;
  /** Whether the platform's list says that an instance is gone. */
  readonly isGone: (holder: string) => boolean;
}

/**
 * Keeps this entry's shares in step with the table. Shares change hands only
 * in a transaction: the giver shrinks first, the taker grows after the
 * commit. A share may be used only while the holder's lease is valid.
 */
export class ShareManager {
  readonly #options: ShareManagerOptions;
  readonly #held: Map<string, HeldShare> = new Map();
  readonly #demand: Map<string, number> = new Map();
  readonly #holders: Map<string, { version: number; since: number }> =
    new Map();
  #addresses: Map<string, readonly string[]> = new Map();
  #renewedAt: number | undefined;
  #renewal = 0;
  #ticking: Promise<void> | undefined;

  private constructor(options: ShareManagerOptions) {
    this.#options = options;
  }

  /** Creates a keeper that holds nothing. */
  static create(options: ShareManagerOptions): ShareManager {
    return new ShareManager(options);
  }

  /** Whether shares may be used now. */
  get isLeaseValid(): boolean {
    if (this.#renewedAt === undefined) return false;
    return this.#options.clock.now() - this.#renewedAt < this.#options.leaseMs;
  }

  /** Returns this entry's share of an organisation, and starts one. */
  share(organisation: string): TokenShare {
    return this.#heldOf(organisation).share;
  }

  /** Whether this entry has a part of the organisation's limit. */
  hasShare(organisation: string): boolean {
    return (this.#held.get(organisation)?.parts ?? 0) > 0;
  }

  /** Internal addresses of other entries that hold a part. */
  lenders(organisation: string): readonly string[] {
    return this.#addresses.get(organisation) ?? [];
  }

  /** Counts tokens that callers asked for, to size the share. */
  recordDemand(organisation: string, tokens: number): void {
    const before = this.#demand.get(organisation) ?? 0;
    this.#demand.set(organisation, before + tokens);
  }

  /**
   * Extends a valid lease while peers confirm that nobody reaches the store:
   * then no share can be reassigned either. A lapsed lease stays lapsed.
   */
  extendLeaseDuringOutage(confirmedAt: number): void {
    if (!this.isLeaseValid) return;
    this.#renewedAt = Math.max(this.#renewedAt!, confirmedAt);
  }

  /** Applies changed limits to the shares. */
  resizeAll(): void {
    for (const [organisation, held] of this.#held) {
      this.#resize(organisation, held);
    }
  }

  /** Renews the lease, then gives, takes and reclaims parts. */
  tick(): Promise<void> {
    this.#ticking ??= this.#tickOnce().finally(() => {
      this.#ticking = undefined;
    });
    return this.#ticking;
  }

  /** Like {@link tick}, but surely begun after the call. */
  async tickAfterCurrent(): Promise<void> {
    await this.#ticking;
    await this.tick();
  }

  async #tickOnce(): Promise<void> {
    const askedAt = this.#options.clock.now();
    const rows = await this.#options.table.scan("limits/");
    if (!rows.ok) {
      this.#holders.clear();
      return;
    }
    if (!await this.#renew(rows.value, askedAt)) return;
    this.#observeHolders(rows.value, askedAt);
    for (const organisation of this.#demand.keys()) {
      this.#heldOf(organisation);
    }
    for (const organisation of this.#held.keys()) {
      await this.#balance(organisation, rows.value);
    }
    await this.#reclaimAbandoned(rows.value);
    this.#decayDemand();
  }

  /** Gives all parts back, as the last step of a planned stop. */
  async release(): Promise<void> {
    const rows = await this.#options.table.scan("limits/");
    if (!rows.ok) return;
    for (const organisation of this.#held.keys()) {
      const row = findRow(rows.value, SHARE_PREFIX + organisation);
      if (!row) continue;
      const held = this.#heldOf(organisation);
      await this.#give(organisation, row, held.parts);
    }
    const own = findRow(rows.value, HOLDER_PREFIX + this.#options.holder);
    if (!own) return;
    await this.#options.table.commit({
      checks: [],
      puts: [{ key: own.key, value: null }],
    });
  }

  #heldOf(organisation: string): HeldShare {
    const known = this.#held.get(organisation);
    if (known) return known;
    const share = TokenShare.create({ clock: this.#options.clock });
    const held = { share, parts: 0, ambiguous: false };
    this.#held.set(organisation, held);
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

  async #renew(rows: readonly Row[], askedAt: number): Promise<boolean> {
    const { holder, table, address } = this.#options;
    const key = HOLDER_PREFIX + holder;
    const row = findRow(rows, key);
    if (!row && this.#renewal > 0) this.#forgetShares();
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
    this.#renewedAt = askedAt;
    return true;
  }

  /** The row was reclaimed: whatever this entry held is no longer its own. */
  #forgetShares(): void {
    for (const [organisation, held] of this.#held) {
      held.parts = 0;
      held.ambiguous = false;
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
    const held = this.#heldOf(organisation);
    const row = findRow(rows, SHARE_PREFIX + organisation);
    const share = parseShare(row);
    this.#addresses.set(organisation, this.#findLenders(share, rows));
    const recorded = share.parts[this.#options.holder] ?? 0;
    if (!held.ambiguous && recorded !== held.parts) {
      held.parts = recorded;
      this.#resize(organisation, held);
    }
    if (held.ambiguous) {
      await this.#settleAmbiguity(organisation, row, share);
      return;
    }
    const target = this.#targetParts(organisation, rows);
    if (held.parts > target * GIVE_THRESHOLD) {
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
    const asked = this.#demand.get(organisation);
    const own = asked === undefined ? 0 : asked + DEMAND_FLOOR_TOKENS_PER_S;
    let sum = own;
    for (const row of rows) {
      if (!row.key.startsWith(HOLDER_PREFIX)) continue;
      if (row.key === HOLDER_PREFIX + this.#options.holder) continue;
      const theirs = parseHolder(row).demand[organisation];
      if (theirs !== undefined) sum += theirs + DEMAND_FLOOR_TOKENS_PER_S;
    }
    return sum === 0 ? 0 : Math.floor(PARTS_PER_LIMIT * own / sum);
  }

  async #give(
    organisation: string,
    row: Row | undefined,
    parts: number,
  ): Promise<void> {
    const held = this.#heldOf(organisation);
    const limit = this.#options.limitOf(organisation);
    if (!row || held.parts === 0) return;
    const given = Math.min(Math.ceil(parts), this.#sparableParts(organisation));
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

  /** Parts whose capacity no reservation or loan occupies. */
  #sparableParts(organisation: string): number {
    const { share, parts } = this.#heldOf(organisation);
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
    const held = this.#heldOf(organisation);
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

  /** Rewrites the row, so that an earlier write still under way conflicts. */
  async #settleAmbiguity(
    organisation: string,
    row: Row | undefined,
    share: ShareRow,
  ): Promise<void> {
    const held = this.#heldOf(organisation);
    held.ambiguous = false;
    const outcome = await this.#commitShare(organisation, row, share);
    if (outcome !== "committed") {
      held.ambiguous = true;
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
    // The write may still arrive, so the row can't be believed yet.
    this.#heldOf(organisation).ambiguous = true;
    return "unknown";
  }

  async #reclaimAbandoned(rows: readonly Row[]): Promise<void> {
    const now = this.#options.clock.now();
    const afterMs = this.#options.leaseMs * ABANDONED_LEASES;
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
    // The holder's own version is checked: a renewal in between wins.
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
      const rest = tokens * DEMAND_DECAY;
      if (rest >= 1) this.#demand.set(organisation, rest);
      else this.#demand.set(organisation, 0);
    }
  }
}

const DEMAND_DECAY = 0.8;

function findRow(rows: readonly Row[], key: string): Row | undefined {
  return rows.find((row) => row.key === key);
}

function parseShare(row: Row | undefined): ShareRow {
  if (row) return JSON.parse(row.value) as ShareRow;
  // Nobody has ever held a part, so the bucket may start full.
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
