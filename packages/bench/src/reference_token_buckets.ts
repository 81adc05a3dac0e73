import type { Document } from "@banyanspool/config";
import type { TraceRequest } from "@banyanspool/trace";

const MS_PER_S = 1000;

interface Bucket {
  level: number;
  updatedAt: number;
}

/** A request's charge to its organisation's bucket. */
export interface ReferenceCharge {
  /** Whether the request was within rate and burst. */
  readonly isInRate: boolean;
  /** Refunds the charge, because the request was not served. */
  readonly refund: () => void;
}

/**
 * Token buckets, one per organisation, that are charged for the requests to all
 * entries, unlike each entry's own buckets. They show whether a refused request
 * was within its organisation's limit.
 */
export class ReferenceTokenBuckets {
  readonly #document: Document;
  readonly #now: () => number;
  readonly #buckets: Map<string, Bucket> = new Map();

  /** Creates full buckets; `now` returns ms. */
  constructor(document: Document, now: () => number) {
    this.#document = document;
    this.#now = now;
  }

  /** Charges a request when it arrives. */
  charge(
    { organisation, promptTokens, outputTokens }: TraceRequest,
  ): ReferenceCharge {
    const bucket = this.#refill(organisation);
    const tokens = promptTokens + outputTokens;
    const isInRate = bucket.level >= tokens;
    bucket.level -= tokens;
    const refund = () => {
      const { burst_tokens: burst } = this.#document.limits[organisation]!;
      const current = this.#refill(organisation);
      current.level = Math.min(burst, current.level + tokens);
    };
    return { isInRate, refund };
  }

  #refill(organisation: string): Bucket {
    const now = this.#now();
    const { rate_tokens_per_s: rate, burst_tokens: burst } = this.#document
      .limits[organisation]!;
    const bucket = this.#buckets.get(organisation) ??
      { level: burst, updatedAt: now };
    const refilled = bucket.level + (now - bucket.updatedAt) / MS_PER_S * rate;
    bucket.level = Math.min(burst, refilled);
    bucket.updatedAt = now;
    this.#buckets.set(organisation, bucket);
    return bucket;
  }
}
