import type { Clock, Result, Sleep } from "@banyanspool/types";
import { err, ok } from "@banyanspool/types";
import type { ShareManager } from "./share_manager.ts";
import type { Loan, Reservation } from "./token_share.ts";

/** Asks another entry for tokens; returns how many it granted. */
export type BorrowCall = (lender: string, request: {
  organisation: string;
  loanId: string;
  tokens: number;
  forMs: number;
}) => Promise<number>;

/** Tells a lender that a loan is settled. */
export type SettleCall = (lender: string, request: {
  organisation: string;
  loanId: string;
  unused: number;
}) => Promise<void>;

/** Options of {@link TokenBucketLimiter.create}. */
export interface TokenBucketLimiterOptions {
  /** Keeper of this entry's shares. */
  readonly shareManager: ShareManager;
  /** Time source. */
  readonly clock: Clock;
  /** Waits for a refill. */
  readonly sleep: Sleep;
  /** Sends to another entry. */
  readonly borrow: BorrowCall;
  /** Sends to another entry. */
  readonly settle: SettleCall;
  /** Prefix that makes this process's loan ids unique. */
  readonly loanIdPrefix: string;
  /** Rate and burst of an organisation over the fleet. */
  readonly limitOf: (
    organisation: string,
  ) => { ratePerS: number; burst: number } | undefined;
}

/** Why a request can't be admitted now. */
export type RateRefusal =
  | { readonly kind: "noLimit" }
  | { readonly kind: "exceedsBurst"; readonly burst: number }
  | { readonly kind: "rateExceeded"; readonly retryAfterMs: number }
  | { readonly kind: "leaseLapsed"; readonly retryAfterMs: number };

/** Tokens set aside for one request. */
export interface Admission {
  /** Counts generated or processed tokens as used. */
  readonly use: (tokens: number) => void;
  /** Gives back what was not used; safe to call twice. */
  readonly settle: () => void;
}

const MAX_LENDERS = 3;
const LEASE_RETRY_MS = 1000;
const REFILL_POLL_MS = 20;
const EMPTY_LENDER_MS = 100;
const ACQUIRE_TRIES = 5;
const ACQUIRE_TRY_MS = 1000;
const FIRST_ACQUIRE_PAUSE_MS = 10;
const MS_PER_S = 1000;

const LEASE_LAPSED: RateRefusal = {
  kind: "leaseLapsed",
  retryAfterMs: LEASE_RETRY_MS,
};

/** What a request asks of its organisation's limit. */
export interface AdmitRequest {
  /** The most tokens that it may cost. */
  readonly tokens: number;
  /** Time in which it must end, in ms. */
  readonly lifetimeMs: number;
  /** Time for which it may wait for a refill, in ms. */
  readonly maxWaitMs: number;
}

interface WaitingRequest extends AdmitRequest {
  readonly giveUpAt: number;
}

interface Line {
  /** Tokens that all requests in line want. */
  tokens: number;
  /** Resolves when the last one in line has left it. */
  tail: Promise<void>;
}

/** Admits requests by their organisation's rate and burst. */
export class TokenBucketLimiter {
  readonly #options: TokenBucketLimiterOptions;
  readonly #lines: Map<string, Line> = new Map();
  readonly #emptyUntil: Map<string, number> = new Map();
  #nextLoan = 0;

  private constructor(options: TokenBucketLimiterOptions) {
    this.#options = options;
  }

  /** Creates the limits of one entry. */
  static create(options: TokenBucketLimiterOptions): TokenBucketLimiter {
    return new TokenBucketLimiter(options);
  }

  /**
   * Reserves the most that a request may cost, borrowing where this entry's
   * share falls short. Waits at most `patienceMs` for a refill. Requests of
   * an organisation that must wait do so in line, so that they don't take
   * tokens from each other that serve none of them.
   */
  async admit(
    organisation: string,
    request: AdmitRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const { shareManager: keeper, clock } = this.#options;
    const limit = this.#options.limitOf(organisation);
    if (!limit) return err({ kind: "noLimit" });
    const { burst } = limit;
    keeper.recordDemand(organisation, request.tokens);
    if (request.tokens > burst) return err({ kind: "exceedsBurst", burst });
    await this.#ensureShare(organisation);
    const giveUpAt = clock.now() + request.maxWaitMs;
    if (!keeper.isLeaseValid) return err(LEASE_LAPSED);
    const line = this.#lineOf(organisation);
    if (line.tokens === 0) {
      const own = keeper.share(organisation).reserve(request.tokens, []);
      if (own) return ok(this.#createAdmission(organisation, own));
    }
    const aheadMs = line.tokens / limit.ratePerS * MS_PER_S;
    if (aheadMs > request.maxWaitMs) {
      return err({ kind: "rateExceeded", retryAfterMs: aheadMs });
    }
    return await this.#waitInLine(organisation, { ...request, giveUpAt });
  }

  /** Answers another entry that wants to borrow. */
  lend(
    organisation: string,
    request: { loanId: string; tokens: number; forMs: number },
  ): number {
    const { shareManager: keeper } = this.#options;
    if (!keeper.isLeaseValid || !keeper.hasShare(organisation)) return 0;
    const share = keeper.share(organisation);
    return share.lend(request.loanId, request.tokens, request.forMs);
  }

  /** Closes a loan that this entry granted. */
  closeLoan(organisation: string, loanId: string, unused: number): void {
    this.#options.shareManager.share(organisation).closeLoan(loanId, unused);
  }

  /**
   * Waits until this entry has a share of an organisation or knows a lender.
   * The first request here finds neither, and several entries may race to
   * divide a limit that nobody has used before.
   */
  async #ensureShare(organisation: string): Promise<void> {
    const { shareManager: keeper, sleep } = this.#options;
    let pauseMs = FIRST_ACQUIRE_PAUSE_MS;
    for (let tries = 0; tries < ACQUIRE_TRIES; tries += 1) {
      if (keeper.hasShare(organisation)) return;
      if (keeper.lenders(organisation).length > 0) return;
      await Promise.race([keeper.tickAfterCurrent(), sleep(ACQUIRE_TRY_MS)]);
      if (keeper.hasShare(organisation)) return;
      await sleep(pauseMs);
      pauseMs *= 2;
    }
  }

  #lineOf(organisation: string): Line {
    const known = this.#lines.get(organisation);
    if (known) return known;
    const line = { tokens: 0, tail: Promise.resolve() };
    this.#lines.set(organisation, line);
    return line;
  }

  async #waitInLine(
    organisation: string,
    request: WaitingRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const line = this.#lineOf(organisation);
    const before = line.tail;
    let leave: () => void = () => {};
    line.tail = new Promise((resolve) => {
      leave = resolve;
    });
    line.tokens += request.tokens;
    try {
      await before;
      return await this.#collect(organisation, request);
    } finally {
      line.tokens -= request.tokens;
      leave();
    }
  }

  /** Collects loans and refill until the request is covered. */
  async #collect(
    organisation: string,
    request: WaitingRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const { shareManager: keeper, clock, sleep } = this.#options;
    const share = keeper.share(organisation);
    const loans: Loan[] = [];
    while (keeper.isLeaseValid) {
      const reservation = share.reserve(request.tokens, loans);
      if (reservation) {
        return ok(this.#createAdmission(organisation, reservation));
      }
      await this.#borrow(organisation, request, loans);
      if (sumOf(loans) + share.level >= request.tokens) continue;
      const waitMs = this.#estimateWait(organisation, request.tokens, loans);
      if (clock.now() + Math.min(waitMs, REFILL_POLL_MS) > request.giveUpAt) {
        this.#returnLoans(organisation, loans);
        return err({ kind: "rateExceeded", retryAfterMs: waitMs });
      }
      await sleep(Math.min(Math.max(waitMs, 1), REFILL_POLL_MS));
    }
    this.#returnLoans(organisation, loans);
    return err(LEASE_LAPSED);
  }

  #returnLoans(organisation: string, loans: readonly Loan[]): void {
    for (const loan of loans) {
      this.#settleLoan(organisation, loan, loan.tokens);
    }
  }

  /** Borrows the missing tokens from a few lenders, one after the other. */
  async #borrow(
    organisation: string,
    request: WaitingRequest,
    loans: Loan[],
  ): Promise<void> {
    const { shareManager: keeper, loanIdPrefix: loanPrefix, clock } =
      this.#options;
    const share = keeper.share(organisation);
    for (const lender of keeper.lenders(organisation).slice(0, MAX_LENDERS)) {
      const covered = sumOf(loans) + Math.max(0, share.level);
      const missing = Math.ceil(request.tokens - covered);
      if (missing <= 0) return;
      const pair = `${organisation} ${lender}`;
      if ((this.#emptyUntil.get(pair) ?? 0) > clock.now()) continue;
      this.#nextLoan += 1;
      const id = `${loanPrefix}/${this.#nextLoan}`;
      const loan = { id, lender, tokens: missing };
      const tokens = await this.#askLender(
        organisation,
        loan,
        request.lifetimeMs,
      );
      if (tokens > 0) loans.push({ ...loan, tokens });
      else this.#emptyUntil.set(pair, clock.now() + EMPTY_LENDER_MS);
    }
  }

  /** Returns how many tokens were granted; after no answer the loan is void. */
  async #askLender(
    organisation: string,
    { id, lender, tokens }: Loan,
    forMs: number,
  ): Promise<number> {
    const request = { organisation, loanId: id, tokens, forMs };
    try {
      return await this.#options.borrow(lender, request);
    } catch {
      this.#settleLoan(organisation, { id, lender, tokens }, tokens);
      return 0;
    }
  }

  #createAdmission(organisation: string, reservation: Reservation): Admission {
    const share = this.#options.shareManager.share(organisation);
    return {
      use: (tokens) => share.use(reservation, tokens),
      settle: () => {
        for (const { loan, unused } of share.settle(reservation)) {
          this.#settleLoan(organisation, loan, unused);
        }
      },
    };
  }

  #settleLoan(organisation: string, loan: Loan, unused: number): void {
    const request = { organisation, loanId: loan.id, unused };
    // A lost message only delays the lender until the loan expires.
    this.#options.settle(loan.lender, request).catch(() => {});
  }

  #estimateWait(
    organisation: string,
    tokens: number,
    loans: readonly Loan[],
  ): number {
    const { shareManager: keeper, limitOf } = this.#options;
    const missing = tokens - sumOf(loans) -
      Math.max(0, keeper.share(organisation).level);
    const ratePerS = limitOf(organisation)?.ratePerS ?? 1;
    return Math.max(0, missing) / ratePerS * MS_PER_S;
  }
}

function sumOf(loans: readonly Loan[]): number {
  return loans.reduce((sum, loan) => sum + loan.tokens, 0);
}
