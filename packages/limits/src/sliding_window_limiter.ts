import type { Clock, OrganisationLimit } from "@banyanspool/types";

/** What one entry tells the others of its use. */
export interface UsageReport {
  /** Name of the entry's instance. */
  readonly instance: string;
  /** Incarnation of its process. */
  readonly incarnation: number;
  /** Tokens by organisation. */
  readonly uses: ReadonlyMap<string, EntryUsage>;
  /** Whether what it says of the last window is complete. */
  readonly knowsWindow: boolean;
}

/** What one entry knows of an organisation's use. */
export interface EntryUsage {
  /** Tokens that the entry itself has admitted since its start. */
  readonly admitted: number;
  /** Tokens that all entries admitted in the last window, as it knows. */
  readonly inWindow: number;
}

/** Options of {@link SlidingWindowLimiter.create}. */
export interface SlidingWindowLimiterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
  /** Whether nobody can have admitted anything before. */
  readonly isFirstStart: boolean;
  /** Part of a burst that a restarted process admits before others are heard. */
  readonly initialBurstShare: number;
  /** Part of what a window allows that approximate counting may go beyond. */
  readonly overage: number;
  /** Tokens that it may go beyond besides. */
  readonly slackTokens: number;
  /** Entries that were heard lately, this one included. */
  readonly liveEntryCount: () => number;
  /** Random numbers from 0 to 1. */
  readonly random: () => number;
}

/** Whether a request's tokens were taken. */
export type TakeResult =
  | { readonly kind: "taken" }
  /** It is too early to say: others are about to tell what was used. */
  | { readonly kind: "learning"; readonly waitMs: number }
  | { readonly kind: "short"; readonly waitMs: number };

interface OrganisationUse {
  limit: OrganisationLimit;
  /** What the window allowed before the limit was last changed. */
  allowedBefore: number;
  changedAt: number;
  /** Tokens admitted in each slot of the window; slots are reused in turn. */
  readonly slots: Float64Array;
  newestSlot: number;
  sum: number;
  /** Tokens of `sum` that this entry has not yet told the others. */
  unreported: number;
  /** Drawn anew with each report, from 0 to 1. */
  draw: number;
}

interface Peer {
  incarnation: number;
  heardAt: number;
  readonly totals: Map<string, number>;
}

/** Use is forgotten in steps of a sixty-fourth of the window. */
const SLOTS_PER_WINDOW = 64;
/** One more, as a slot is only forgotten when all of it has left the window. */
const SLOTS = SLOTS_PER_WINDOW + 1;
/**
 * A restarted entry admits nothing for this long unless it hears of the last
 * window before: others answer its first report at once.
 */
const LEARN_WITHIN_MS = 500;
/** Reports come a few times a second; three missed ones count as silence. */
const SILENT_AFTER_MS = 600;
/** Time from then on in which its even share comes to count as used. */
const ASSUME_WITHIN_MS = 1000;
/** An entry that was silent this long has stopped or serves nobody. */
const GONE_AFTER_MS = 10_000;
/**
 * Requests up to this part of what a window allows count as small: a booking
 * at a small organisation, a chat at a large one, never a document.
 */
const SMALL_SHARE = 0.002;
/**
 * Small requests may go this part beyond what a window allows. With the next
 * constant, together less than the least tolerance stated, a tenth.
 */
const SMALL_OVERAGE = 0.05;
/**
 * Part of the tolerance that entries may use up between two reports. Reports
 * cross on their way, so up to twice as much is admitted before all know.
 */
const UNREPORTED_TOLERANCE = 0.25;
const MS_PER_S = 1000;

/**
 * Rate and burst of each organisation over all entries: in any window of the
 * given length, the rate over that window and one burst. Every entry counts
 * what it admits and what the others say they admitted. Near the limit each
 * takes no more than an even share of what is left before it has reported to the
 * others, at random where that is less than a request, so that many entries don't
 * all spend the same rest. An entry that falls silent is taken to use an even
 * share until it is heard again, so that two sides of a partition don't both
 * spend the whole limit. A restarted entry learns the use of the last window
 * from those that know it.
 */
export class SlidingWindowLimiter {
  readonly #options: SlidingWindowLimiterOptions;
  readonly #slotMs: number;
  readonly #createdAt: number;
  readonly #uses: Map<string, OrganisationUse> = new Map();
  readonly #peers: Map<string, Peer> = new Map();
  readonly #own: Map<string, number> = new Map();
  /** What others last told of organisations that this entry hasn't met. */
  readonly #lastReported: Map<string, { inWindow: number; heardAt: number }> =
    new Map();
  #hasLearnt: boolean;

  private constructor(options: SlidingWindowLimiterOptions) {
    this.#options = options;
    this.#slotMs = options.windowMs / SLOTS_PER_WINDOW;
    this.#createdAt = options.clock.now();
    this.#hasLearnt = options.isFirstStart;
  }

  /** Creates windows that know no other entry. */
  static create(options: SlidingWindowLimiterOptions): SlidingWindowLimiter {
    return new SlidingWindowLimiter(options);
  }

  /** Whether the use of the last window is known, as far as others are heard. */
  get knowsWindow(): boolean {
    return this.#hasLearnt || !this.#isYoung;
  }

  /** What to tell the other entries, by organisation. */
  currentUsage(): ReadonlyMap<string, EntryUsage> {
    const uses = new Map<string, EntryUsage>();
    for (const [name, use] of this.#uses) {
      const { sum } = this.#advance(use.limit);
      uses.set(name, { admitted: this.#own.get(name) ?? 0, inWindow: sum });
    }
    return uses;
  }

  /** Notes that all other entries are being sent the totals. */
  markReported(): void {
    for (const use of this.#uses.values()) {
      use.unreported = 0;
      use.draw = this.#options.random();
    }
  }

  /**
   * Takes the tokens of a request, or says when there will be some. The last
   * request before the window is full may go beyond it: otherwise small
   * requests would keep large ones out for good. Small ones need not wait for
   * that one to leave the window, up to a twentieth more: a booking of a few
   * tokens isn't held up by the documents of the same organisation.
   */
  take(limit: OrganisationLimit, tokens: number): TakeResult {
    if (limit.ratePerS <= 0 && limit.burst <= 0) return { kind: "taken" };
    const learnMs = this.#learnMs;
    if (learnMs > 0) return { kind: "learning", waitMs: learnMs };
    const use = this.#advance(limit);
    const allowed = this.#allowedNow(use);
    const isSmall = tokens <= allowed * SMALL_SHARE;
    const ceiling = isSmall ? allowed * (1 + SMALL_OVERAGE) : allowed;
    const excess = use.sum + this.#assumedOfSilent(allowed) - ceiling;
    if (excess >= 0) {
      return { kind: "short", waitMs: this.#waitFor(use, excess) };
    }
    if (!isSmall && !this.#isWithinShare(use, tokens, allowed)) {
      return { kind: "short", waitMs: this.#slotMs };
    }
    this.#count(use, tokens);
    this.#countOwn(limit.name, tokens);
    use.unreported += tokens;
    return { kind: "taken" };
  }

  /** Gives back the tokens of a request that was never sent on. */
  refund(limit: OrganisationLimit, tokens: number): void {
    const use = this.#uses.get(limit.name);
    if (!use) return;
    this.#count(use, -tokens);
    this.#countOwn(limit.name, -tokens);
    use.unreported -= tokens;
  }

  /** Takes in what another entry reports. */
  recordReport(report: UsageReport): void {
    const { instance, incarnation, uses, knowsWindow } = report;
    const known = this.#peers.get(instance);
    const peer = known?.incarnation === incarnation
      ? known
      : { incarnation, heardAt: 0, totals: new Map<string, number>() };
    const isLearning = this.#isYoung && knowsWindow;
    for (const [organisation, { admitted, inWindow }] of uses) {
      const before = peer.totals.get(organisation) ??
        (known ? 0 : Math.max(0, admitted - inWindow));
      this.#countOthers(organisation, admitted - before);
      peer.totals.set(organisation, admitted);
      const use = this.#uses.get(organisation);
      if (!use) {
        const heardAt = this.#options.clock.now();
        this.#lastReported.set(organisation, { inWindow, heardAt });
      } else if (isLearning) {
        this.#learn(use, inWindow);
      }
    }
    if (isLearning) this.#endWaiting();
    peer.heardAt = this.#options.clock.now();
    this.#peers.set(instance, peer);
  }

  /** Time for which it is still worth waiting to hear from others. */
  get #learnMs(): number {
    if (this.#hasLearnt) return 0;
    const ageMs = this.#options.clock.now() - this.#createdAt;
    return Math.max(0, LEARN_WITHIN_MS - ageMs);
  }

  /** Whether this entry is younger than a window. */
  get #isYoung(): boolean {
    const { clock, windowMs } = this.#options;
    return clock.now() - this.#createdAt < windowMs;
  }

  #countOthers(organisation: string, tokens: number): void {
    const use = this.#uses.get(organisation);
    if (use && tokens !== 0) this.#count(this.#advance(use.limit), tokens);
  }

  /**
   * Takes over what an entry knows that was here in time to see it, and again
   * with each report until this one has seen a whole window itself: when the
   * tokens were admitted, and so when they leave the window, isn't told.
   */
  #learn(use: OrganisationUse, inWindow: number): void {
    this.#spread(use, inWindow - this.#advance(use.limit).sum);
  }

  #endWaiting(): void {
    this.#hasLearnt = true;
    for (const use of this.#uses.values()) {
      use.allowedBefore = this.#target(use.limit);
    }
  }

  /** Counts tokens whose time is unknown as admitted evenly over the window. */
  #spread(use: OrganisationUse, tokens: number): void {
    if (tokens <= 0) return;
    for (const [i, counted] of use.slots.entries()) {
      use.slots[i] = counted + tokens / SLOTS;
    }
    use.sum += tokens;
  }

  /** Whether this entry's part of the rest is enough, at random if it is less. */
  #isWithinShare(
    { sum, unreported, draw }: OrganisationUse,
    tokens: number,
    allowed: number,
  ): boolean {
    const { overage, slackTokens, liveEntryCount: liveCount } = this.#options;
    const tolerance = allowed * overage + slackTokens;
    const rest = allowed - sum + unreported + tolerance * UNREPORTED_TOLERANCE;
    const share = rest / liveCount() - unreported;
    return share >= tokens || draw * tokens < share;
  }

  #countOwn(organisation: string, tokens: number): void {
    this.#own.set(organisation, (this.#own.get(organisation) ?? 0) + tokens);
  }

  #count(use: OrganisationUse, tokens: number): void {
    const slot = use.newestSlot % SLOTS;
    use.slots[slot] = (use.slots[slot] ?? 0) + tokens;
    use.sum += tokens;
  }

  /** Drops what has left the window, and notes a changed limit. */
  #advance(limit: OrganisationLimit): OrganisationUse {
    const now = this.#options.clock.now();
    const newestSlot = Math.floor(now / this.#slotMs);
    const use = this.#uses.get(limit.name) ?? this.#createUse(limit);
    if (
      use.limit.ratePerS !== limit.ratePerS || use.limit.burst !== limit.burst
    ) {
      const allowed = this.#allowedNow(use);
      use.limit = limit;
      // A raised limit holds at once; a lowered one over the next window.
      use.allowedBefore = Math.max(allowed, this.#target(limit));
      use.changedAt = now;
    }
    const passed = Math.min(SLOTS, newestSlot - use.newestSlot);
    for (let i = 1; i <= passed; i += 1) {
      const slot = (use.newestSlot + i) % SLOTS;
      use.sum -= use.slots[slot] ?? 0;
      use.slots[slot] = 0;
    }
    use.newestSlot = newestSlot;
    return use;
  }

  #createUse(limit: OrganisationLimit): OrganisationUse {
    const created: OrganisationUse = {
      limit,
      allowedBefore: this.#hasLearnt
        ? this.#target(limit)
        : limit.burst * this.#options.initialBurstShare,
      changedAt: this.#createdAt,
      slots: new Float64Array(SLOTS),
      newestSlot: Math.floor(this.#options.clock.now() / this.#slotMs),
      sum: 0,
      unreported: 0,
      draw: this.#options.random(),
    };
    this.#uses.set(limit.name, created);
    const reported = this.#lastReported.get(limit.name);
    if (reported) {
      const { clock, windowMs } = this.#options;
      const left = 1 - (clock.now() - reported.heardAt) / windowMs;
      this.#spread(created, reported.inWindow * left);
    }
    return created;
  }

  /**
   * What the window allows now. After a change, and after a start that knows
   * nothing of the use before it, it moves to the new figure over one window.
   */
  #allowedNow({ limit, allowedBefore, changedAt }: OrganisationUse): number {
    const { clock, windowMs } = this.#options;
    const passed = Math.min(1, (clock.now() - changedAt) / windowMs);
    return allowedBefore + (this.#target(limit) - allowedBefore) * passed;
  }

  #target({ ratePerS, burst }: OrganisationLimit): number {
    return ratePerS * this.#options.windowMs / MS_PER_S + burst;
  }

  /** An even share of the window for each entry that is silent. */
  #assumedOfSilent(allowed: number): number {
    const now = this.#options.clock.now();
    let present = 1;
    let silent = 0;
    for (const { heardAt } of this.#peers.values()) {
      const ageMs = now - heardAt;
      if (ageMs >= GONE_AFTER_MS) continue;
      present += 1;
      const silentMs = ageMs - SILENT_AFTER_MS;
      silent += Math.min(1, Math.max(0, silentMs / ASSUME_WITHIN_MS));
    }
    return allowed * silent / present;
  }

  /** Time until so many tokens have left the window. */
  #waitFor(use: OrganisationUse, excess: number): number {
    const now = this.#options.clock.now();
    let left = excess;
    for (let i = 1; i <= SLOTS; i += 1) {
      left -= use.slots[(use.newestSlot + i) % SLOTS] ?? 0;
      if (left < 0) return (use.newestSlot + i) * this.#slotMs - now;
    }
    return this.#options.windowMs;
  }
}
