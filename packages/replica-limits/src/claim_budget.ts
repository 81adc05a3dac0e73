import type { Clock } from "@banyanspool/types";

interface Span {
  readonly startedAt: number;
  claims: number;
}

const MS_PER_S = 1000;
/** Claims of an organisation a second, for each permit a second. */
const CLAIMS_PER_PERMIT = 8;
const MIN_CLAIMS_PER_S = 10;

/**
 * Bounds how often a gateway asks an issuer for permits that are used up. Each
 * organisation has a budget of its own, so that a rush of one takes none of the
 * others'.
 */
export class ClaimBudget {
  readonly #clock: Clock;
  /** Current second of each organisation, by replica. */
  readonly #spans: Map<string, Map<string, Span>> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a budget from which nothing was taken. */
  static create({ clock }: { clock: Clock }): ClaimBudget {
    return new ClaimBudget(clock);
  }

  /** Takes one claim. Returns false if the budget is spent for now. */
  take(
    replica: string,
    { organisation, ratePerS }: { organisation: string; ratePerS: number },
  ): boolean {
    const now = this.#clock.now();
    const spans = this.#spans.get(replica) ?? new Map<string, Span>();
    this.#spans.set(replica, spans);
    let span = spans.get(organisation);
    if (!span || now - span.startedAt >= MS_PER_S) {
      span = { startedAt: now, claims: 0 };
      spans.set(organisation, span);
    }
    const allowed = Math.max(MIN_CLAIMS_PER_S, CLAIMS_PER_PERMIT * ratePerS);
    if (span.claims >= allowed) return false;
    span.claims += 1;
    return true;
  }

  /** Removes all replicas but these. */
  retain(replicas: ReadonlySet<string>): void {
    for (const replica of this.#spans.keys()) {
      if (!replicas.has(replica)) this.#spans.delete(replica);
    }
  }
}
