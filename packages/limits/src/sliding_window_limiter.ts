import type { Clock, OrganisationLimit } from "@banyanspool/types";

/** Usage counts that an entry sends to the others. */
export interface UsageReport {
  /** Name of the entry's instance. */
  readonly instance: string;
  /** Incarnation of the entry's process. */
  readonly incarnation: number;
  /** Usage by organisation name. */
  readonly uses: ReadonlyMap<string, EntryUsage>;
  /** Whether the counts cover the whole of the last window. */
  readonly knowsWindow: boolean;
}

/** An organisation's usage as counted by one entry. */
export interface EntryUsage {
  /** Tokens that the entry itself has admitted since it started. */
  readonly admitted: number;
  /** Tokens of all entries in the last window, as far as counted. */
  readonly inWindow: number;
}

/** Options of {@link SlidingWindowLimiter.create}. */
export interface SlidingWindowLimiterOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Length of the sliding window, in ms. */
  readonly windowMs: number;
  /** Whether no entry can have admitted tokens before this start. */
  readonly isFirstStart: boolean;
  /** Fraction of the burst allowed after a restart without any report. */
  readonly initialBurstShare: number;
  /** Tolerated excess of approximate counting, as a part of the allowance. */
  readonly overage: number;
  /** Tolerated excess in addition to `overage`, in tokens. */
  readonly slackTokens: number;
  /** Number of entries that reported recently, this one included. */
  readonly liveEntryCount: () => number;
  /** Source of random numbers in [0, 1). */
  readonly random: () => number;
}

/** Whether a request's tokens were taken, or the time until a retry, in ms. */
export type TakeResult =
  | { readonly kind: "taken" }
  /** The entry has restarted and waits for the first report of another one. */
  | { readonly kind: "learning"; readonly waitMs: number }
  /** The window, or this entry's share of its remainder, is used up. */
  | { readonly kind: "short"; readonly waitMs: number };

interface OrganisationUse {
  limit: OrganisationLimit;
  /** Allowance of the window before the last change of the limit, in tokens. */
  previousAllowance: number;
  changedAt: number;
  /** Ring buffer of the tokens admitted in each slot of the window. */
  readonly slots: Float64Array;
  newestSlot: number;
  sum: number;
  /** Tokens of `sum` admitted here since the last report to the others. */
  unreported: number;
  /** Random number in [0, 1), drawn again with each report. */
  randomDraw: number;
}

interface Peer {
  incarnation: number;
  reportedAt: number;
  readonly totals: Map<string, number>;
  /** When a report last showed a larger total, by organisation. */
  readonly increasedAt: Map<string, number>;
}

/** Usage expires in steps of a sixty-fourth of the window. */
const SLOTS_PER_WINDOW = 64;
/** One more slot, as a slot only expires once all of it has left the window. */
const SLOTS = SLOTS_PER_WINDOW + 1;
/**
 * A restarted entry admits nothing for this long, unless it receives the usage
 * of the last window earlier. Other entries respond to its first report at once.
 */
const LEARNING_TIMEOUT_MS = 500;
/**
 * An entry counts as silent after this time without a report. Reports come a few
 * times a second, so about three have been missed by then.
 */
const SILENT_AFTER_MS = 600;
/** Time over which a silent entry's assumed usage rises to an even share. */
const ASSUMED_USAGE_RAMP_MS = 1000;
/** An entry that is silent for this long has stopped or serves no callers. */
const GONE_AFTER_MS = 10_000;
/**
 * Largest size of a small request, as a fraction of the window's allowance. A
 * booking at a small organisation and a chat at a large one are small; a
 * document never is.
 */
const SMALL_REQUEST_SHARE = 0.002;
/**
 * Fraction by which small requests may exceed the window's allowance. Together
 * with the excess that UNREPORTED_TOLERANCE permits, it stays below a tenth,
 * the smallest tolerance stated.
 */
const SMALL_REQUEST_OVERAGE = 0.05;
/**
 * Fraction of the tolerance that entries may use up between two reports.
 * Reports cross in transit, so up to twice as much is admitted before all
 * entries have counted it.
 */
const UNREPORTED_TOLERANCE = 0.25;
/** An entry counts as used by an organisation for this time after a request. */
const ACTIVE_MS = 2000;
/** Part of the allowance that is divided among all live entries. */
const RESERVED_SHARE = 0.3;
/**
 * What remains above that part is divided among twice the entries that an
 * organisation uses, as its requests may move to others between two reports.
 */
const ENTRIES_PER_ACTIVE_ENTRY = 2;
const MIN_SHARING_ENTRIES = 4;
const MS_PER_S = 1000;

/**
 * Limits each organisation's rate and burst over all entries with a sliding
 * window: any window of the given length admits the rate over that window plus
 * one burst. Every entry counts the tokens that it admits and those that others
 * report. Near the limit, an entry takes at most an even share of the remainder
 * between two of its reports, and admits at random a request larger than that
 * share, so that many entries don't all spend the same remainder. Far from the
 * limit only the entries that the organisation uses share what remains. A silent
 * entry is assumed to use an even share until it reports again, so that the two
 * sides of a partition don't both spend the whole limit. A restarted entry
 * takes the usage of the last window from reports of entries that have counted
 * it.
 */
export class SlidingWindowLimiter {
  readonly #options: SlidingWindowLimiterOptions;
  readonly #slotMs: number;
  readonly #createdAt: number;
  readonly #usageByOrganisation: Map<string, OrganisationUse> = new Map();
  readonly #peers: Map<string, Peer> = new Map();
  readonly #admittedTotals: Map<string, number> = new Map();
  /** Last reported usage of organisations without a request at this entry. */
  readonly #lastReportedUsage: Map<
    string,
    { inWindow: number; reportedAt: number }
  > = new Map();
  #hasLearntUsage: boolean;

  private constructor(options: SlidingWindowLimiterOptions) {
    this.#options = options;
    this.#slotMs = options.windowMs / SLOTS_PER_WINDOW;
    this.#createdAt = options.clock.now();
    this.#hasLearntUsage = options.isFirstStart;
  }

  /** Creates a limiter that has received no reports. */
  static create(options: SlidingWindowLimiterOptions): SlidingWindowLimiter {
    return new SlidingWindowLimiter(options);
  }

  /**
   * Whether this entry has counted or received the usage of the whole last
   * window.
   */
  get knowsWindow(): boolean {
    return this.#hasLearntUsage || !this.#isYoungerThanWindow;
  }

  /** Usage to report to the other entries, by organisation name. */
  currentUsage(): ReadonlyMap<string, EntryUsage> {
    const uses = new Map<string, EntryUsage>();
    for (const [name, use] of this.#usageByOrganisation) {
      const { sum } = this.#advance(use.limit);
      uses.set(name, {
        admitted: this.#admittedTotals.get(name) ?? 0,
        inWindow: sum,
      });
    }
    return uses;
  }

  /** Records that the totals are being sent to all other entries. */
  markReported(): void {
    for (const use of this.#usageByOrganisation.values()) {
      use.unreported = 0;
      use.randomDraw = this.#options.random();
    }
  }

  /**
   * Takes the tokens of a request, or returns the time until a retry can
   * succeed. The request that fills the window may exceed the allowance:
   * otherwise small requests would starve large ones. Small requests may exceed
   * it by a further twentieth instead of waiting for that request to leave the
   * window, so that a booking of a few tokens isn't delayed by the documents of
   * the same organisation.
   */
  take(limit: OrganisationLimit, tokens: number): TakeResult {
    if (limit.ratePerS <= 0 && limit.burst <= 0) return { kind: "taken" };
    const learningMs = this.#remainingLearningMs;
    if (learningMs > 0) return { kind: "learning", waitMs: learningMs };
    const use = this.#advance(limit);
    const allowance = this.#currentAllowance(use);
    const isSmall = tokens <= allowance * SMALL_REQUEST_SHARE;
    const ceiling = isSmall
      ? allowance * (1 + SMALL_REQUEST_OVERAGE)
      : allowance;
    const excess = use.sum + this.#assumedSilentUsage(allowance) - ceiling;
    if (excess >= 0) {
      return { kind: "short", waitMs: this.#waitMsFor(use, excess) };
    }
    if (!isSmall && !this.#isWithinShare(use, tokens, allowance)) {
      return { kind: "short", waitMs: this.#slotMs };
    }
    this.#count(use, tokens);
    this.#countAdmitted(limit.name, tokens);
    use.unreported += tokens;
    return { kind: "taken" };
  }

  /** Returns the tokens of a request that was never forwarded. */
  refund(limit: OrganisationLimit, tokens: number): void {
    const use = this.#usageByOrganisation.get(limit.name);
    if (!use) return;
    this.#count(use, -tokens);
    this.#countAdmitted(limit.name, -tokens);
    use.unreported -= tokens;
  }

  /** Counts the usage that another entry reports. */
  recordReport(report: UsageReport): void {
    const { instance, incarnation, uses, knowsWindow } = report;
    const known = this.#peers.get(instance);
    const peer = known?.incarnation === incarnation ? known : {
      incarnation,
      reportedAt: 0,
      totals: new Map<string, number>(),
      increasedAt: new Map<string, number>(),
    };
    const isLearning = this.#isYoungerThanWindow && knowsWindow;
    for (const [organisation, { admitted, inWindow }] of uses) {
      const before = peer.totals.get(organisation) ??
        (known ? 0 : Math.max(0, admitted - inWindow));
      this.#countReported(organisation, admitted - before);
      peer.totals.set(organisation, admitted);
      if (admitted > before) {
        peer.increasedAt.set(organisation, this.#options.clock.now());
      }
      const use = this.#usageByOrganisation.get(organisation);
      if (!use) {
        const reportedAt = this.#options.clock.now();
        this.#lastReportedUsage.set(organisation, { inWindow, reportedAt });
      } else if (isLearning) {
        this.#adoptUsage(use, inWindow);
      }
    }
    if (isLearning) this.#endLearning();
    peer.reportedAt = this.#options.clock.now();
    this.#peers.set(instance, peer);
  }

  /**
   * Remaining time to wait for a first report before admitting requests, in ms.
   */
  get #remainingLearningMs(): number {
    if (this.#hasLearntUsage) return 0;
    const ageMs = this.#options.clock.now() - this.#createdAt;
    return Math.max(0, LEARNING_TIMEOUT_MS - ageMs);
  }

  /** Whether this entry has run for less than a window. */
  get #isYoungerThanWindow(): boolean {
    const { clock, windowMs } = this.#options;
    return clock.now() - this.#createdAt < windowMs;
  }

  #countReported(organisation: string, tokens: number): void {
    const use = this.#usageByOrganisation.get(organisation);
    if (use && tokens !== 0) this.#count(this.#advance(use.limit), tokens);
  }

  /**
   * Adopts the usage reported by an entry that has counted the whole window.
   * This repeats with each report until this entry has run for a whole window,
   * as reports don't say when the tokens were admitted, and so when they leave
   * the window.
   */
  #adoptUsage(use: OrganisationUse, inWindow: number): void {
    this.#spread(use, inWindow - this.#advance(use.limit).sum);
  }

  #endLearning(): void {
    this.#hasLearntUsage = true;
    for (const use of this.#usageByOrganisation.values()) {
      use.previousAllowance = this.#targetAllowance(use.limit);
    }
  }

  /** Counts tokens whose admission time is unknown evenly over the window. */
  #spread(use: OrganisationUse, tokens: number): void {
    if (tokens <= 0) return;
    for (const [i, counted] of use.slots.entries()) {
      use.slots[i] = counted + tokens / SLOTS;
    }
    use.sum += tokens;
  }

  /**
   * Whether this entry's share of the remainder suffices for the request. If
   * not, the result is random: true with a probability of share / tokens.
   */
  #isWithinShare(
    { limit, sum, unreported, randomDraw }: OrganisationUse,
    tokens: number,
    allowance: number,
  ): boolean {
    const { overage, slackTokens, liveEntryCount } = this.#options;
    const tolerance = allowance * overage + slackTokens;
    const remainder = allowance - sum + unreported +
      tolerance * UNREPORTED_TOLERANCE;
    const reserved = Math.min(remainder, allowance * RESERVED_SHARE);
    const share = reserved / liveEntryCount() +
      (remainder - reserved) / this.#countSharingEntries(limit.name) -
      unreported;
    return share >= tokens || randomDraw * tokens < share;
  }

  /** Number of entries that may take tokens before they know of each other's. */
  #countSharingEntries(organisation: string): number {
    const { clock, liveEntryCount } = this.#options;
    const activeSince = clock.now() - ACTIVE_MS;
    let active = 1;
    for (const { increasedAt } of this.#peers.values()) {
      if ((increasedAt.get(organisation) ?? -Infinity) >= activeSince) {
        active += 1;
      }
    }
    const sharing = Math.max(
      MIN_SHARING_ENTRIES,
      active * ENTRIES_PER_ACTIVE_ENTRY,
    );
    return Math.min(liveEntryCount(), sharing);
  }

  #countAdmitted(organisation: string, tokens: number): void {
    this.#admittedTotals.set(
      organisation,
      (this.#admittedTotals.get(organisation) ?? 0) + tokens,
    );
  }

  #count(use: OrganisationUse, tokens: number): void {
    const slot = use.newestSlot % SLOTS;
    use.slots[slot] = (use.slots[slot] ?? 0) + tokens;
    use.sum += tokens;
  }

  /** Expires tokens that have left the window, and applies a changed limit. */
  #advance(limit: OrganisationLimit): OrganisationUse {
    const now = this.#options.clock.now();
    const newestSlot = Math.floor(now / this.#slotMs);
    const use = this.#usageByOrganisation.get(limit.name) ??
      this.#createUse(limit);
    if (
      use.limit.ratePerS !== limit.ratePerS || use.limit.burst !== limit.burst
    ) {
      const allowance = this.#currentAllowance(use);
      use.limit = limit;
      // A raised limit applies at once; a lowered one over the next window.
      use.previousAllowance = Math.max(allowance, this.#targetAllowance(limit));
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
      previousAllowance: this.#hasLearntUsage
        ? this.#targetAllowance(limit)
        : limit.burst * this.#options.initialBurstShare,
      changedAt: this.#createdAt,
      slots: new Float64Array(SLOTS),
      newestSlot: Math.floor(this.#options.clock.now() / this.#slotMs),
      sum: 0,
      unreported: 0,
      randomDraw: this.#options.random(),
    };
    this.#usageByOrganisation.set(limit.name, created);
    const reported = this.#lastReportedUsage.get(limit.name);
    if (reported) {
      const { clock, windowMs } = this.#options;
      const left = 1 - (clock.now() - reported.reportedAt) / windowMs;
      this.#spread(created, reported.inWindow * left);
    }
    return created;
  }

  /**
   * Current allowance of the window, in tokens. After a change of the limit,
   * and after a start without information on earlier usage, it moves linearly
   * to the new value over one window.
   */
  #currentAllowance(
    { limit, previousAllowance, changedAt }: OrganisationUse,
  ): number {
    const { clock, windowMs } = this.#options;
    const passed = Math.min(1, (clock.now() - changedAt) / windowMs);
    return previousAllowance +
      (this.#targetAllowance(limit) - previousAllowance) * passed;
  }

  #targetAllowance({ ratePerS, burst }: OrganisationLimit): number {
    return ratePerS * this.#options.windowMs / MS_PER_S + burst;
  }

  /** Tokens assumed to be used by silent entries: an even share for each. */
  #assumedSilentUsage(allowance: number): number {
    const now = this.#options.clock.now();
    let presentEntries = 1;
    let silentEntries = 0;
    for (const { reportedAt } of this.#peers.values()) {
      const ageMs = now - reportedAt;
      if (ageMs >= GONE_AFTER_MS) continue;
      presentEntries += 1;
      const silentMs = ageMs - SILENT_AFTER_MS;
      silentEntries += Math.min(
        1,
        Math.max(0, silentMs / ASSUMED_USAGE_RAMP_MS),
      );
    }
    return allowance * silentEntries / presentEntries;
  }

  /** Time until `excess` tokens have left the window, in ms. */
  #waitMsFor(use: OrganisationUse, excess: number): number {
    const now = this.#options.clock.now();
    let left = excess;
    for (let i = 1; i <= SLOTS; i += 1) {
      left -= use.slots[(use.newestSlot + i) % SLOTS] ?? 0;
      if (left < 0) return (use.newestSlot + i) * this.#slotMs - now;
    }
    return this.#options.windowMs;
  }
}
