import type { Clock } from "@banyanspool/types";

/** Rate and burst of one share. */
export interface TokenShareOptions {
  /** Time source. */
  readonly clock: Clock;
}

/** Tokens that another entry lent for one request. */
export interface Loan {
  /** Unique id of the loan. */
  readonly id: string;
  /** Address of the lender. */
  readonly lender: string;
  /** Tokens granted. */
  readonly tokens: number;
}

/** Tokens set aside for one request. */
export interface Reservation {
  /** Tokens from the share itself. */
  readonly own: number;
  /** Tokens from other entries. */
  readonly loans: readonly Loan[];
  /** Tokens used so far. */
  used: number;
  /** True once the rest has been given back. */
  settled: boolean;
}

interface OutstandingLoan {
  readonly tokens: number;
  readonly expiresAt: number;
}

/**
 * One entry's part of an organisation's token bucket. The level, the unused
 * part of reservations and the tokens lent never exceed the capacity
 * together, so that the sum over all entries stays within rate and burst at
 * every moment, whether use is counted at admission or at generation.
 */
export class TokenShare {
  readonly #clock: Clock;
  readonly #lent: Map<string, OutstandingLoan> = new Map();
  readonly #closedLoans: Set<string> = new Set();
  #ratePerMs = 0;
  #capacity = 0;
  #level = 0;
  #held = 0;
  #refilledAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Creates a share of nothing. */
  static create({ clock }: TokenShareOptions): TokenShare {
    return new TokenShare(clock);
  }

  /** Tokens that can be reserved or lent now. */
  get level(): number {
    this.#refill();
    return this.#level;
  }

  /** Most tokens that the share can ever hold. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Tokens reserved and not yet used. */
  get reserved(): number {
    return this.#held;
  }

  /** Tokens lent and not yet settled or expired. */
  get lent(): number {
    this.#expireLoans();
    let sum = 0;
    for (const loan of this.#lent.values()) sum += loan.tokens;
    return sum;
  }

  /** Changes rate and capacity. The level never rises by this. */
  resize(ratePerS: number, capacity: number): void {
    this.#refill();
    this.#ratePerMs = ratePerS / 1000;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, this.#room());
  }

  /** Adds tokens that came with a larger share. */
  deposit(tokens: number): void {
    this.#refill();
    this.#level = Math.min(this.#level + tokens, this.#room());
  }

  /** Takes tokens out together with a part of the share. */
  withdraw(tokens: number): number {
    this.#refill();
    const taken = Math.max(0, Math.min(tokens, this.#level));
    this.#level -= taken;
    return taken;
  }

  /** Reserves tokens, or returns undefined and reserves nothing. */
  reserve(tokens: number, loans: readonly Loan[]): Reservation | undefined {
    this.#refill();
    const borrowed = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const own = Math.max(0, tokens - borrowed);
    if (own > this.#level) return undefined;
    this.#level -= own;
    this.#held += own;
    return { own, loans, used: 0, settled: false };
  }

  /** Counts tokens of a reservation as used. */
  use(reservation: Reservation, tokens: number): void {
    if (reservation.settled) return;
    this.#refill();
    const before = Math.min(reservation.used, reservation.own);
    reservation.used += tokens;
    const after = Math.min(reservation.used, reservation.own);
    this.#held -= after - before;
    this.#chargeExcess(reservation, tokens);
  }

  /**
   * Ends a reservation and takes back its unused own tokens. Returns the
   * loans with their unused tokens, which belong to the lenders.
   */
  settle(reservation: Reservation): { loan: Loan; unused: number }[] {
    if (reservation.settled) return [];
    reservation.settled = true;
    this.#refill();
    const unusedOwn = Math.max(0, reservation.own - reservation.used);
    this.#held -= unusedOwn;
    this.#level = Math.min(this.#level + unusedOwn, this.#room());
    let usedOfLoans = Math.max(0, reservation.used - reservation.own);
    return reservation.loans.map((loan) => {
      const used = Math.min(usedOfLoans, loan.tokens);
      usedOfLoans -= used;
      return { loan, unused: loan.tokens - used };
    });
  }

  /**
   * Lends up to a number of tokens and returns how many. The same id gets
   * the same answer, and nothing once the loan is closed.
   */
  lend(id: string, tokens: number, forMs: number): number {
    this.#refill();
    const known = this.#lent.get(id);
    if (known) return known.tokens;
    if (this.#closedLoans.has(id)) return 0;
    const granted = Math.floor(Math.max(0, Math.min(tokens, this.#level)));
    if (granted === 0) return 0;
    this.#level -= granted;
    const expiresAt = this.#clock.now() + forMs;
    this.#lent.set(id, { tokens: granted, expiresAt });
    return granted;
  }

  /** Closes a loan and takes back what the borrower did not use. */
  closeLoan(id: string, unused: number): void {
    this.#refill();
    this.#rememberClosed(id);
    const loan = this.#lent.get(id);
    if (loan === undefined) return;
    this.#lent.delete(id);
    const returned = Math.max(0, Math.min(unused, loan.tokens));
    this.#level = Math.min(this.#level + returned, this.#room());
  }

  /** Milliseconds until a number of tokens is there; Infinity for never. */
  waitFor(tokens: number): number {
    this.#refill();
    if (tokens <= this.#level) return 0;
    if (tokens > this.#capacity || this.#ratePerMs === 0) return Infinity;
    return (tokens - this.#level) / this.#ratePerMs;
  }

  #room(): number {
    return Math.max(0, this.#capacity - this.#held - this.lent);
  }

  /** An underestimated prompt becomes a debt that the refill repays. */
  #chargeExcess(reservation: Reservation, tokens: number): void {
    const reserved = reservation.own +
      reservation.loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const excess = Math.min(tokens, reservation.used - reserved);
    if (excess > 0) this.#level -= excess;
  }

  #refill(): void {
    const now = this.#clock.now();
    const elapsed = now - this.#refilledAt;
    this.#refilledAt = now;
    const filled = this.#level + elapsed * this.#ratePerMs;
    this.#level = Math.min(filled, this.#room());
  }

  #expireLoans(): void {
    const now = this.#clock.now();
    for (const [id, loan] of this.#lent) {
      if (loan.expiresAt > now) continue;
      this.#lent.delete(id);
      this.#rememberClosed(id);
    }
  }

  #rememberClosed(id: string): void {
    this.#closedLoans.add(id);
    if (this.#closedLoans.size <= MAX_CLOSED_LOANS) return;
    const [oldest] = this.#closedLoans;
    this.#closedLoans.delete(oldest!);
  }
}

const MAX_CLOSED_LOANS = 10_000;
