import { rankByAffinity } from "@banyanspool/routing";
import type { Clock } from "@banyanspool/types";

/** The gateway that holds the placement lease. */
export interface Holder {
  /** Instance name. */
  readonly instance: string;
  /** Fencing token of its lease. */
  readonly token: bigint;
}

/** The holder counts as lost after this time without a report, in ms. */
const HOLDER_TIMEOUT_MS = 2000;
/** Number of gateways that poll the lease while its holder is live. */
const LEASE_CANDIDATES = 2;
/**
 * While the holder is lost, twice as many gateways poll the lease after each of
 * these times, in ms, as the first ones may not reach the store either.
 */
const CANDIDATES_DOUBLE_MS = 500;

/**
 * Which gateway holds the placement lease, by the reports of gateways, and
 * whether this one should poll the lease.
 */
export class PlacementHolder {
  readonly #clock: Clock;
  #holder: Holder | undefined;
  /** When a holder was last known; the start of this process before that. */
  #seenAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#seenAt = clock.now();
  }

  /** Creates a view without a holder. */
  static create({ clock }: { clock: Clock }): PlacementHolder {
    return new PlacementHolder(clock);
  }

  /** Instance name of the last known holder, if it has not given up the lease. */
  get instance(): string | undefined {
    return this.#holder?.instance;
  }

  /**
   * Records a report of a gateway that holds the lease. Returns whether it is
   * the current holder, and not an earlier one.
   */
  recordHolder(holder: Holder): boolean {
    if (this.#holder && holder.token < this.#holder.token) return false;
    this.#holder = holder;
    this.#seenAt = this.#clock.now();
    return true;
  }

  /** Records a report of a gateway that does not hold the lease. */
  recordOther(instance: string): void {
    if (this.#holder?.instance !== instance) return;
    this.#holder = undefined;
    // The holder has given the lease up, so it need not be waited for.
    this.#seenAt = this.#clock.now() - HOLDER_TIMEOUT_MS;
  }

  /**
   * Whether a gateway should poll the lease, given the times since the other
   * gateways' last reports, in ms. Only a few do while the holder is live, which
   * keeps the number of store calls low; more and more do while it is lost.
   */
  isCandidate(
    instance: string,
    silentMsByPeer: ReadonlyMap<string, number>,
  ): boolean {
    const lostMs = this.#clock.now() - this.#seenAt - HOLDER_TIMEOUT_MS;
    const doublings = Math.floor(Math.max(0, lostMs) / CANDIDATES_DOUBLE_MS);
    const live = [{ id: instance }];
    for (const [id, silentMs] of silentMsByPeer) {
      if (silentMs < HOLDER_TIMEOUT_MS) live.push({ id });
    }
    return rankByAffinity("placement", live)
      .slice(0, LEASE_CANDIDATES * 2 ** doublings)
      .some(({ id }) => id === instance);
  }
}
