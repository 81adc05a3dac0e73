import type { Clock, Result, Sleep } from "@banyanspool/types";
import { err, ok } from "@banyanspool/types";
import type { ShareManager } from "./share_manager.ts";
import type { Loan, Reservation } from "./token_share.ts";

/** Borrows tokens from another entry; returns how many were granted. */
export type BorrowCall = (lender: string, request: {
  organisation: string;
  loanId: string;
  tokens: number;
  forMs: number;
}) => Promise<number>;

/** Settles a loan with its lender, returning the unused tokens. */
export type SettleCall = (lender: string, request: {
  organisation: string;
  loanId: string;
  unused: number;
}) => Promise<void>;

/** Options of {@link TokenBucketLimiter.create}. */
export interface TokenBucketLimiterOptions {
  /** Manages this entry's shares and its lease. */
  readonly shareManager: ShareManager;
  /** Time source. */
  readonly clock: Clock;
  /** Waits for a refill and between attempts to get a share. */
  readonly sleep: Sleep;
  /** Sends a borrow request to another entry. */
  readonly borrow: BorrowCall;
  /** Sends a settlement to a lender. */
  readonly settle: SettleCall;
  /** Prefix that makes this process's loan ids unique. */
  readonly loanIdPrefix: string;
  /** Rate and burst of an organisation over all entries, if it has a limit. */
  readonly limitOf: (
    organisation: string,
  ) => { ratePerS: number; burst: number } | undefined;
}

/** Why a request is refused. */
export type RateRefusal =
  | { readonly kind: "noLimit" }
  | { readonly kind: "exceedsBurst"; readonly burst: number }
  | { readonly kind: "rateExceeded"; readonly retryAfterMs: number }
  | { readonly kind: "leaseLapsed"; readonly retryAfterMs: number };

/** An admitted request, for which tokens are reserved. */
export interface Admission {
  /** Counts generated or processed tokens as used. */
  readonly use: (tokens: number) => void;
  /** Returns the unused tokens; a repeated call has no effect. */
  readonly settle: () => void;
}

const MAX_LENDERS = 3;
const LEASE_RETRY_MS = 1000;
const REFILL_POLL_MS = 20;
const EMPTY_LENDER_PAUSE_MS = 100;
const MAX_ACQUIRE_ATTEMPTS = 5;
const ACQUIRE_TIMEOUT_MS = 1000;
const INITIAL_ACQUIRE_BACKOFF_MS = 10;
const MS_PER_S = 1000;

const LEASE_LAPSED: RateRefusal = {
  kind: "leaseLapsed",
  retryAfterMs: LEASE_RETRY_MS,
};

/** Tokens and times of a request for admission. */
export interface AdmitRequest {
  /** Most tokens that the request may cost. */
  readonly tokens: number;
  /** Time within which the request must end, in ms; loans last as long. */
  readonly lifetimeMs: number;
  /** Time for which the request may wait for a refill, in ms. */
  readonly maxWaitMs: number;
}

interface WaitingRequest extends AdmitRequest {
  readonly deadline: number;
}

interface WaitQueue {
  /** Tokens that all queued requests need. */
  tokens: number;
  /** Resolves when the last queued request has left the queue. */
  tail: Promise<void>;
}

/**
 * Admits requests by their organisation's rate and burst, from this entry's
 * share of the organisation's token bucket and from loans of other entries.
 */
export class TokenBucketLimiter {
  readonly #options: TokenBucketLimiterOptions;
  readonly #queues: Map<string, WaitQueue> = new Map();
  readonly #emptyUntil: Map<string, number> = new Map();
  #nextLoan = 0;

  private constructor(options: TokenBucketLimiterOptions) {
    this.#options = options;
  }

  /** Creates the limiter of one entry. */
  static create(options: TokenBucketLimiterOptions): TokenBucketLimiter {
    return new TokenBucketLimiter(options);
  }

  /**
   * Reserves the most that a request may cost, borrowing what this entry's
   * share lacks. Waits at most `maxWaitMs` for a refill. Requests whose tokens
   * no lender grants whole wait in a first-in, first-out queue: if they collected
   * tokens concurrently, each could hold tokens that the others need and none
   * would be admitted.
   */
  async admit(
    organisation: string,
    request: AdmitRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const { shareManager, clock } = this.#options;
    const limit = this.#options.limitOf(organisation);
    if (!limit) return err({ kind: "noLimit" });
    const { burst } = limit;
    shareManager.recordDemand(organisation, request.tokens);
    if (request.tokens > burst) return err({ kind: "exceedsBurst", burst });
    await this.#ensureShare(organisation);
    const deadline = clock.now() + request.maxWaitMs;
    if (!shareManager.isLeaseValid) return err(LEASE_LAPSED);
    const queue = this.#queueOf(organisation);
    if (queue.tokens === 0) {
      const own = shareManager.share(organisation).reserve(request.tokens, []);
      const reservation = own ?? await this.#borrowWhole(organisation, request);
      if (reservation) {
        return ok(this.#createAdmission(organisation, reservation));
      }
    }
    const queueWaitMs = queue.tokens / limit.ratePerS * MS_PER_S;
    if (queueWaitMs > request.maxWaitMs) {
      return err({ kind: "rateExceeded", retryAfterMs: queueWaitMs });
    }
    return await this.#waitInQueue(organisation, { ...request, deadline });
  }

  /** Lends tokens to another entry; returns how many were granted. */
  lend(
    organisation: string,
    request: { loanId: string; tokens: number; forMs: number },
  ): number {
    const { shareManager: manager } = this.#options;
    if (!manager.isLeaseValid || !manager.hasShare(organisation)) return 0;
    const share = manager.share(organisation);
    return share.lend(request.loanId, request.tokens, request.forMs);
  }

  /** Closes a loan that this entry granted. */
  closeLoan(organisation: string, loanId: string, unused: number): void {
    this.#options.shareManager.share(organisation).closeLoan(loanId, unused);
  }

  /**
   * Waits until this entry has a share of the organisation's limit or a lender
   * is known. An organisation's first request at this entry finds neither, and
   * several entries may race to divide a limit that has not been used before.
   */
  async #ensureShare(organisation: string): Promise<void> {
    const { shareManager, sleep } = this.#options;
    let backoffMs = INITIAL_ACQUIRE_BACKOFF_MS;
    for (let attempt = 0; attempt < MAX_ACQUIRE_ATTEMPTS; attempt += 1) {
      if (shareManager.hasShare(organisation)) return;
      if (shareManager.lenders(organisation).length > 0) return;
      await Promise.race([
        shareManager.tickAfterCurrent(),
        sleep(ACQUIRE_TIMEOUT_MS),
      ]);
      if (shareManager.hasShare(organisation)) return;
      await sleep(backoffMs);
      backoffMs *= 2;
    }
  }

  #queueOf(organisation: string): WaitQueue {
    const known = this.#queues.get(organisation);
    if (known) return known;
    const queue = { tokens: 0, tail: Promise.resolve() };
    this.#queues.set(organisation, queue);
    return queue;
  }

  async #waitInQueue(
    organisation: string,
    request: WaitingRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const queue = this.#queueOf(organisation);
    const before = queue.tail;
    let leaveQueue: () => void = () => {};
    queue.tail = new Promise((resolve) => {
      leaveQueue = resolve;
    });
    queue.tokens += request.tokens;
    try {
      await before;
      return await this.#collect(organisation, request);
    } finally {
      queue.tokens -= request.tokens;
      leaveQueue();
    }
  }

  /** Collects loans and refilled tokens until they cover the request. */
  async #collect(
    organisation: string,
    request: WaitingRequest,
  ): Promise<Result<Admission, RateRefusal>> {
    const { shareManager, clock, sleep } = this.#options;
    const share = shareManager.share(organisation);
    const loans: Loan[] = [];
    while (shareManager.isLeaseValid) {
      const reservation = share.reserve(request.tokens, loans);
      if (reservation) {
        return ok(this.#createAdmission(organisation, reservation));
      }
      await this.#borrow(organisation, request, loans);
      if (sumOf(loans) + share.level >= request.tokens) continue;
      const waitMs = this.#estimateWait(organisation, request.tokens, loans);
      if (clock.now() + Math.min(waitMs, REFILL_POLL_MS) > request.deadline) {
        this.#returnLoans(organisation, loans);
        return err({ kind: "rateExceeded", retryAfterMs: waitMs });
      }
      await sleep(Math.min(Math.max(waitMs, 1), REFILL_POLL_MS));
    }
    this.#returnLoans(organisation, loans);
    return err(LEASE_LAPSED);
  }

  /** Reserves a request's tokens with loans, or returns these if they don't do. */
  async #borrowWhole(
    organisation: string,
    request: AdmitRequest,
  ): Promise<Reservation | undefined> {
    const { shareManager } = this.#options;
    const loans: Loan[] = [];
    await this.#borrow(organisation, request, loans);
    // The process may have been paused meanwhile.
    const reservation = shareManager.isLeaseValid
      ? shareManager.share(organisation).reserve(request.tokens, loans)
      : undefined;
    if (!reservation) this.#returnLoans(organisation, loans);
    return reservation;
  }

  #returnLoans(organisation: string, loans: readonly Loan[]): void {
    for (const loan of loans) {
      this.#settleLoan(organisation, loan, loan.tokens);
    }
  }

  /** Borrows the missing tokens from up to MAX_LENDERS lenders in turn. */
  async #borrow(
    organisation: string,
    request: AdmitRequest,
    loans: Loan[],
  ): Promise<void> {
    const { shareManager, loanIdPrefix, clock } = this.#options;
    const share = shareManager.share(organisation);
    for (
      const lender of shareManager.lenders(organisation).slice(0, MAX_LENDERS)
    ) {
      const covered = sumOf(loans) + Math.max(0, share.level);
      const missing = Math.ceil(request.tokens - covered);
      if (missing <= 0) return;
      const pair = `${organisation} ${lender}`;
      if ((this.#emptyUntil.get(pair) ?? 0) > clock.now()) continue;
      this.#nextLoan += 1;
      const id = `${loanIdPrefix}/${this.#nextLoan}`;
      const loan = { id, lender, tokens: missing };
      const tokens = await this.#requestLoan(
        organisation,
        loan,
        request.lifetimeMs,
      );
      if (tokens > 0) loans.push({ ...loan, tokens });
      else this.#emptyUntil.set(pair, clock.now() + EMPTY_LENDER_PAUSE_MS);
    }
  }

  /**
   * Returns the number of granted tokens. If the call fails, returns 0 and
   * settles the loan with all tokens unused, as the lender may have granted it.
   */
  async #requestLoan(
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
    // If the message is lost, the lender gets the tokens back at the loan's
    // expiry.
    this.#options.settle(loan.lender, request).catch(() => {});
  }

  #estimateWait(
    organisation: string,
    tokens: number,
    loans: readonly Loan[],
  ): number {
    const { shareManager, limitOf } = this.#options;
    const missing = tokens - sumOf(loans) -
      Math.max(0, shareManager.share(organisation).level);
    const ratePerS = limitOf(organisation)?.ratePerS ?? 1;
    return Math.max(0, missing) / ratePerS * MS_PER_S;
  }
}

function sumOf(loans: readonly Loan[]): number {
  return loans.reduce((sum, loan) => sum + loan.tokens, 0);
}
