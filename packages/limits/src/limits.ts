import type { Clock, Result, Sleep } from "@banyanspool/types";
import { err, ok } from "@banyanspool/types";
import type { ShareKeeper } from "./share_keeper.ts";
import type { Loan, Reservation, TokenShare } from "./token_share.ts";

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

/** Options of {@link Limits.create}. */
export interface LimitsOptions {
  /** Keeper of this entry's shares. */
  readonly keeper: ShareKeeper;
  /** Time source. */
  readonly clock: Clock;
  /** Waits for a refill. */
  readonly sleep: Sleep;
  /** Sends to another entry. */
  readonly borrow: BorrowCall;
  /** Sends to another entry. */
  readonly settle: SettleCall;
  /** Prefix that makes this process's loan ids unique. */
  readonly loanPrefix: string;
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

/** Admits requests by their organisation's rate and burst. */
export class Limits {
  readonly #options: LimitsOptions;
  #nextLoan = 0;

  private constructor(options: LimitsOptions) {
    this.#options = options;
  }

  /** Creates the limits of one entry. */
  static create(options: LimitsOptions): Limits {
    return new Limits(options);
  }

  /**
   * Reserves the most that a request may cost, borrowing where this entry's
   * share falls short. Waits at most `patienceMs` for a refill.
   */
  async admit(
    organisation: string,
    request: { tokens: number; lifetimeMs: number; patienceMs: number },
  ): Promise<Result<Admission, RateRefusal>> {
    const { keeper, clock, sleep } = this.#options;
    const limit = this.#options.limitOf(organisation);
    if (!limit) return err({ kind: "noLimit" });
    const { burst } = limit;
    keeper.recordDemand(organisation, request.tokens);
    if (request.tokens > burst) return err({ kind: "exceedsBurst", burst });
    const giveUpAt = clock.now() + request.patienceMs;
    if (!keeper.holds(organisation)) {
      // The first request here for an organisation finds no share yet.
      await Promise.race([keeper.tick(), sleep(request.patienceMs)]);
    }
    while (true) {
      if (!keeper.valid) {
        return err({ kind: "leaseLapsed", retryAfterMs: LEASE_RETRY_MS });
      }
      const admission = await this.#tryAdmit(organisation, request);
      if (admission) return ok(admission);
      const share = keeper.share(organisation);
      const waitMs = this.#estimateWait(share, request.tokens, limit);
      if (clock.now() + waitMs > giveUpAt) {
        return err({ kind: "rateExceeded", retryAfterMs: waitMs });
      }
      await sleep(Math.min(Math.max(waitMs, 1), REFILL_POLL_MS));
    }
  }

  /** Answers another entry that wants to borrow. */
  lend(
    organisation: string,
    request: { loanId: string; tokens: number; forMs: number },
  ): number {
    const { keeper } = this.#options;
    if (!keeper.valid || !keeper.holds(organisation)) return 0;
    const share = keeper.share(organisation);
    return share.lend(request.loanId, request.tokens, request.forMs);
  }

  /** Closes a loan that this entry granted. */
  closeLoan(organisation: string, loanId: string, unused: number): void {
    this.#options.keeper.share(organisation).closeLoan(loanId, unused);
  }

  async #tryAdmit(
    organisation: string,
    request: { tokens: number; lifetimeMs: number },
  ): Promise<Admission | undefined> {
    const { keeper } = this.#options;
    const share = keeper.share(organisation);
    const own = share.reserve(request.tokens, []);
    if (own) return this.#createAdmission(organisation, own);
    const loans = await this.#borrow(organisation, request);
    const reservation = keeper.valid
      ? share.reserve(request.tokens, loans)
      : undefined;
    if (reservation) return this.#createAdmission(organisation, reservation);
    for (const loan of loans) {
      this.#settleLoan(organisation, loan, loan.tokens);
    }
    return undefined;
  }

  /** Borrows the missing tokens from a few lenders, one after the other. */
  async #borrow(
    organisation: string,
    request: { tokens: number; lifetimeMs: number },
  ): Promise<readonly Loan[]> {
    const { keeper, loanPrefix } = this.#options;
    const share = keeper.share(organisation);
    const loans: Loan[] = [];
    let missing = Math.ceil(request.tokens - Math.max(0, share.level));
    for (const lender of keeper.lenders(organisation).slice(0, MAX_LENDERS)) {
      if (missing <= 0) break;
      this.#nextLoan += 1;
      const id = `${loanPrefix}/${this.#nextLoan}`;
      const forMs = request.lifetimeMs;
      const loan = { id, lender, tokens: missing };
      const tokens = await this.#askLender(organisation, loan, forMs);
      if (tokens <= 0) continue;
      loans.push({ ...loan, tokens });
      missing -= tokens;
    }
    return loans;
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
    const share = this.#options.keeper.share(organisation);
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
    share: TokenShare,
    tokens: number,
    limit: { ratePerS: number },
  ): number {
    const own = share.waitFor(tokens);
    if (own !== Infinity) return own;
    const missing = tokens - Math.max(0, share.level);
    return missing / limit.ratePerS * 1000;
  }
}
