import type { Document } from "@banyanspool/config";
import type { TraceRequest } from "@banyanspool/trace";

const MS_PER_S = 1000;

interface Bucket {
  level: number;
  at: number;
}

/** A request's charge to the ideal bucket. */
export interface ReferenceCharge {
  /** Whether the request was inside rate and burst. */
  readonly isInRate: boolean;
  /** Takes the charge back, because the request was not served. */
  readonly refund: () => void;
}

/**
 * One exact bucket for each organisation, which judges whether a refused
 * request was inside its rate. Only served requests stay charged.
 */
export class ReferenceTokenBuckets {
  readonly #document: Document;
  readonly #now: () => number;
  readonly #buckets: Map<string, Bucket> = new Map();

  /** Creates full buckets. */
  constructor(document: Document, now: () => number) {
    this.#document = document;
    this.#now = now;
  }

  /** Charges a request that has arrived. */
  charge(
    { organisation, promptTokens, outputTokens }: TraceRequest,
  ): ReferenceCharge {
    const bucket = this.#refill(organisation);
    const tokens = promptTokens + outputTokens;
    const isInRate = bucket.level >= tokens;
    bucket.level -= tokens;
    const giveBack = () => {
      const { burst_tokens: burst } = this.#document.limits[organisation]!;
      const current = this.#refill(organisation);
      current.level = Math.min(burst, current.level + tokens);
    };
    return { isInRate, refund: giveBack };
  }

  #refill(organisation: string): Bucket {
    const now = this.#now();
    const { rate_tokens_per_s: rate, burst_tokens: burst } = this.#document
      .limits[organisation]!;
    const bucket = this.#buckets.get(organisation) ?? { level: burst, at: now };
    const refilled = bucket.level + (now - bucket.at) / MS_PER_S * rate;
    bucket.level = Math.min(burst, refilled);
    bucket.at = now;
    this.#buckets.set(organisation, bucket);
    return bucket;
  }
}
