import type { Clock } from "@banyanspool/types";

/** Options of {@link TokenShare.create}. */
export interface TokenShareOptions {
  /** Time source. */
  readonly clock: Clock;
}

/** Tokens that another entry lent for one request. */
export interface Loan {
  /** Unique id of the loan. */
  readonly id: string;
  /** Internal address of the lender. */
  readonly lender: string;
  /** Tokens granted. */
  readonly tokens: number;
}

/** Tokens reserved for one request. */
export interface Reservation {
  /** Tokens from the share itself. */
  readonly own: number;
  /** Tokens from other entries. */
  readonly loans: readonly Loan[];
  /** Tokens used so far. */
  used: number;
  /** True once the unused tokens have been returned. */
  settled: boolean;
}

interface OutstandingLoan {
  readonly tokens: number;
  readonly expiresAt: number;
}

/**
 * One entry's share of an organisation's token bucket. The level, the unused
 * tokens of reservations and the lent tokens never exceed the capacity in sum,
 * so that all entries together stay within rate and burst at every moment,
 * whether usage is counted at admission or at generation.
 */
export class TokenShare {
  readonly #clock: Clock;
  readonly #lent: Map<string, OutstandingLoan> = new Map();
  readonly #closedLoans: Set<string> = new Set();
  #ratePerMs = 0;
  #capacity = 0;
  #level = 0;
  #reserved = 0;
  #refilledAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#refilledAt = clock.now();
  }

  /** Creates a share with rate and capacity 0. */
  static create({ clock }: TokenShareOptions): TokenShare {
    return new TokenShare(clock);
  }

  /** Tokens that can be reserved or lent now. */
  get level(): number {
    this.#refill();
    return this.#level;
  }

  /** Most tokens that the share can hold at its current size. */
  get capacity(): number {
    return this.#capacity;
  }

  /** Tokens reserved and not yet used. */
  get reserved(): number {
    return this.#reserved;
  }

  /** Tokens lent and not yet settled or expired. */
  get lent(): number {
    this.#expireLoans();
    let sum = 0;
    for (const loan of this.#lent.values()) sum += loan.tokens;
    return sum;
  }

  /** Changes rate and capacity; the level never rises. */
  resize(ratePerS: number, capacity: number): void {
    this.#refill();
    this.#ratePerMs = ratePerS / 1000;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, this.#freeCapacity());
  }

  /** Adds the tokens of parts just taken, up to the free capacity. */
  deposit(tokens: number): void {
    this.#refill();
    this.#level = Math.min(this.#level + tokens, this.#freeCapacity());
  }

  /** Removes up to `tokens` tokens as parts are given away; returns how many. */
  withdraw(tokens: number): number {
    this.#refill();
    const taken = Math.max(0, Math.min(tokens, this.#level));
    this.#level -= taken;
    return taken;
  }

  /** Reserves tokens, loans first; undefined if the level is too low. */
  reserve(tokens: number, loans: readonly Loan[]): Reservation | undefined {
    this.#refill();
    const borrowed = loans.reduce((sum, loan) => sum + loan.tokens, 0);
    const own = Math.max(0, tokens - borrowed);
    if (own > this.#level) return undefined;
    this.#level -= own;
    this.#reserved += own;
    return { own, loans, used: 0, settled: false };
  }

  /** Counts tokens as used; those above the reservation lower the level. */
  use(reservation: Reservation, tokens: number): void {
    if (reservation.settled) return;
    this.#refill();
    const before = Math.min(reservation.used, reservation.own);
    reservation.used += tokens;
    const after = Math.min(reservation.used, reservation.own);
    this.#reserved -= after - before;
    this.#chargeExcess(reservation, tokens);
  }

  /**
   * Ends a reservation and restores its unused own tokens to the level. Returns
   * the loans with their unused tokens, which belong to the lenders.
   */
  settle(reservation: Reservation): { loan: Loan; unused: number }[] {
    if (reservation.settled) return [];
    reservation.settled = true;
    this.#refill();
    const unusedOwn = Math.max(0, reservation.own - reservation.used);
    this.#reserved -= unusedOwn;
    this.#level = Math.min(this.#level + unusedOwn, this.#freeCapacity());
    let usedOfLoans = Math.max(0, reservation.used - reservation.own);
    return reservation.loans.map((loan) => {
      const used = Math.min(usedOfLoans, loan.tokens);
      usedOfLoans -= used;
      return { loan, unused: loan.tokens - used };
    });
  }

  /**
   * Lends up to `tokens` tokens for `forMs` and returns how many. Idempotent by
   * id: a repeated call returns the same number, and 0 once the loan is closed.
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

  /** Closes a loan and restores its unused tokens to the level. */
  closeLoan(id: string, unused: number): void {
    this.#refill();
    this.#recordClosedLoan(id);
    const loan = this.#lent.get(id);
    if (loan === undefined) return;
    this.#lent.delete(id);
    const returned = Math.max(0, Math.min(unused, loan.tokens));
    this.#level = Math.min(this.#level + returned, this.#freeCapacity());
  }

  /** Time until the level reaches `tokens`, in ms; Infinity if it never does. */
  waitFor(tokens: number): number {
    this.#refill();
    if (tokens <= this.#level) return 0;
    if (tokens > this.#capacity || this.#ratePerMs === 0) return Infinity;
    return (tokens - this.#level) / this.#ratePerMs;
  }

  #freeCapacity(): number {
    return Math.max(0, this.#capacity - this.#reserved - this.lent);
  }

  /** Charges use above the estimate to the level, which may become negative. */
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
    this.#level = Math.min(filled, this.#freeCapacity());
  }

  #expireLoans(): void {
    const now = this.#clock.now();
    for (const [id, loan] of this.#lent) {
      if (loan.expiresAt > now) continue;
      this.#lent.delete(id);
      this.#recordClosedLoan(id);
    }
  }

  #recordClosedLoan(id: string): void {
    this.#closedLoans.add(id);
    if (this.#closedLoans.size <= MAX_CLOSED_LOANS) return;
    const [oldest] = this.#closedLoans;
    this.#closedLoans.delete(oldest!);
  }
}

const MAX_CLOSED_LOANS = 10_000;
