import type { Clock, OrganisationLimit } from "@banyanspool/types";

/** What one entry tells the others of its use. */
export interface UseReport {
  /** Name of the entry's instance. */
  readonly instance: string;
  /** Incarnation of its process. */
  readonly incarnation: number;
  /** Tokens that it has admitted since its start, by organisation. */
  readonly totals: ReadonlyMap<string, number>;
}

/** Options of {@link FleetBucket.create}. */
export interface FleetBucketOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Part of a burst that is there at the start, before others were heard. */
  readonly initialShare: number;
}

/** Whether a request's tokens were taken. */
export type TakeResult =
  | { readonly kind: "taken" }
  | { readonly kind: "short"; readonly waitMs: number };

interface Bucket {
  limit: OrganisationLimit;
  level: number;
  refilledAt: number;
}

interface Peer {
  incarnation: number;
  heardAt: number;
  readonly totals: Map<string, number>;
  /** Tokens that it was taken to have used while it was silent. */
  readonly assumed: Map<string, number>;
}

/** Reports come a few times a second; three missed ones count as silence. */
const SILENT_AFTER_MS = 600;
/** An entry that was silent this long has stopped or serves nobody. */
const GONE_AFTER_MS = 10_000;
/** Requests up to this part of a burst count as small. */
const SMALL_SHARE = 0.02;
const MS_PER_S = 1000;

/**
 * Rate and burst of each organisation over all entries. Every entry keeps the
 * whole bucket and takes off what the others say they admitted, so that the
 * sum is off by at most what is admitted between two reports. An entry that
 * falls silent is taken to use an even share of the rate until it is heard
 * again, so that two sides of a partition don't both spend the whole rate.
 */
export class FleetBucket {
  readonly #options: FleetBucketOptions;
  readonly #buckets: Map<string, Bucket> = new Map();
  readonly #peers: Map<string, Peer> = new Map();
  readonly #own: Map<string, number> = new Map();

  private constructor(options: FleetBucketOptions) {
    this.#options = options;
  }

  /** Creates buckets that know no other entry. */
  static create(options: FleetBucketOptions): FleetBucket {
    return new FleetBucket(options);
  }

  /** Tokens that this entry has admitted since its start. */
  get ownTotals(): ReadonlyMap<string, number> {
    return this.#own;
  }

  /**
   * Takes the tokens of a request, or says when there will be some. The last
   * request before the bucket is empty may go into debt, which the refill
   * repays: otherwise small requests would keep large ones out for good.
   * Small ones need not wait for that debt, up to one more burst: a booking of
   * a few tokens isn't held up by the documents of the same organisation.
   */
  take(limit: OrganisationLimit, tokens: number): TakeResult {
    if (limit.ratePerS <= 0 && limit.burst <= 0) return { kind: "taken" };
    const bucket = this.#refill(limit);
    const isSmall = tokens <= limit.burst * SMALL_SHARE;
    const floor = isSmall ? -limit.burst : 0;
    if (bucket.level <= floor) {
      const waitMs = (floor + 1 - bucket.level) / limit.ratePerS * MS_PER_S;
      return { kind: "short", waitMs };
    }
    bucket.level -= tokens;
    this.#countOwn(limit.name, tokens);
    return { kind: "taken" };
  }

  /** Gives back the tokens of a request that was never sent on. */
  refund(limit: OrganisationLimit, tokens: number): void {
    const bucket = this.#buckets.get(limit.name);
    if (!bucket) return;
    bucket.level = Math.min(bucket.limit.burst, bucket.level + tokens);
    this.#countOwn(limit.name, -tokens);
  }

  /** Takes in what another entry reports. */
  recordReport({ instance, incarnation, totals }: UseReport): void {
    const now = this.#options.clock.now();
    for (const bucket of this.#buckets.values()) this.#refill(bucket.limit);
    const peer = this.#peers.get(instance);
    if (!peer) {
      this.#peers.set(instance, {
        incarnation,
        heardAt: now,
        totals: new Map(totals),
        assumed: new Map(),
      });
      return;
    }
    if (peer.incarnation !== incarnation) peer.totals.clear();
    for (const [organisation, total] of totals) {
      const used = total - (peer.totals.get(organisation) ?? 0);
      const assumed = peer.assumed.get(organisation) ?? 0;
      this.#charge(organisation, used - assumed);
      peer.assumed.delete(organisation);
      peer.totals.set(organisation, total);
    }
    peer.incarnation = incarnation;
    peer.heardAt = now;
  }

  #charge(organisation: string, tokens: number): void {
    const bucket = this.#buckets.get(organisation);
    if (!bucket) return;
    bucket.level = Math.min(bucket.limit.burst, bucket.level - tokens);
  }

  #countOwn(organisation: string, tokens: number): void {
    this.#own.set(organisation, (this.#own.get(organisation) ?? 0) + tokens);
  }

  #refill(limit: OrganisationLimit): Bucket {
    const now = this.#options.clock.now();
    const bucket = this.#buckets.get(limit.name);
    if (!bucket) {
      const created = {
        limit,
        level: limit.burst * this.#options.initialShare,
        refilledAt: now,
      };
      this.#buckets.set(limit.name, created);
      return created;
    }
    bucket.limit = limit;
    const elapsedS = (now - bucket.refilledAt) / MS_PER_S;
    bucket.refilledAt = now;
    const filled = elapsedS * limit.ratePerS;
    bucket.level = Math.min(
      limit.burst,
      bucket.level + filled - this.#assumeSilentUse(limit.name, filled),
    );
    return bucket;
  }

  /** Counts an even share of a refill as used by each silent entry. */
  #assumeSilentUse(organisation: string, filled: number): number {
    const now = this.#options.clock.now();
    const present = [...this.#peers.values()]
      .filter(({ heardAt }) => now - heardAt < GONE_AFTER_MS);
    const share = filled / (present.length + 1);
    let sum = 0;
    for (const peer of present) {
      if (now - peer.heardAt < SILENT_AFTER_MS) continue;
      const assumed = peer.assumed.get(organisation) ?? 0;
      peer.assumed.set(organisation, assumed + share);
      sum += share;
    }
    return sum;
  }
}
