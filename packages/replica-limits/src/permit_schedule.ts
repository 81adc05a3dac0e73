import type { Clock } from "@banyanspool/types";

/**
 * Which permits a request may take: `any`, or only `spare` ones if another
 * replica could serve it as well. The others are reserved for requests that no
 * other replica could serve.
 */
export type PermitClass = "any" | "spare";

/** On whose behalf a permit is taken. */
export interface PermitRequester {
  /** Organisation; empty on open routes and for the gateways' own calls. */
  readonly organisation: string;
  /** Priority of the request; 0 is the most urgent. */
  readonly priority: number;
  /** The same for all attempts of a caller at one request. */
  readonly request: string;
}

/** Whether a permit was issued, and if not, when one may be. */
export type PermitResult =
  | { readonly granted: true }
  | { readonly granted: false; readonly retryInMs: number };

/** The result of a request that gets its permit. */
export const GRANTED: PermitResult = { granted: true };

interface PermitPromise {
  readonly organisation: string;
  readonly request: string;
  readonly at: number;
}

interface Usage {
  /** Decayed cost of the permits that the organisation has got. */
  cost: number;
  updatedAt: number;
  /** Weight of its last request's priority. */
  weight: number;
  /** Time of the last permit that it has got or was promised. */
  lastPermitAt: number;
  /** When it last asked for a permit. */
  requestedAt: number;
}

const MS_PER_S = 1000;
/** Tolerance of comparisons of fractions of permits, and of ms. */
const ROUNDING = 1e-6;
/** Permits that accumulate at most: this many, or those of this time. */
const MIN_CAPACITY = 2;
const CAPACITY_MS = 250;
/** Share of the capacity that is reserved. */
const RESERVED_SHARE = 0.5;
/** Time after which half of an organisation's usage is forgotten, in ms. */
const USAGE_HALF_LIFE_MS = 4000;
/** Time after which an organisation without requests is forgotten, in ms. */
const FORGET_MS = 60_000;
/** Time for which an organisation that was denied a permit waits for one. */
const CONTENTION_MS = 5000;
/** Priority from which on requests weigh alike. */
const LOWEST_PRIORITY = 3;
/** Time after a promised moment in which the permit is kept, in ms. */
const PROMISE_HOLD_MS = 400;
/** Share of the capacity that is kept for promises at a time, but at least one. */
const PROMISED_SHARE = 0.5;
/** Longest time ahead for which permits are promised, in ms. */
const MAX_PROMISE_MS = 10_000;
const MAX_PROMISES = 64;
/** Permits that are counted for operators. */
const MAX_COUNTED = 1000;
/** One of this many permits in turn is promised to an organisation at most. */
const MIN_PLACES = 2;

/**
 * Issues the permits of one replica from a token bucket. While organisations
 * compete for them, one that has got less goes first; an urgent request costs its
 * organisation less. A request that is denied a permit may be promised one, which
 * its next attempt after that moment gets.
 */
export class PermitSchedule {
  readonly #clock: Clock;
  readonly #usage: Map<string, Usage> = new Map();
  /** In order of time. */
  #promises: PermitPromise[] = [];
  /** Times of the permits of the last second. */
  #issuedAt: number[] = [];
  #ratePerS = 0;
  #permits = 0;
  #updatedAt: number;

  private constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /**
   * Creates a schedule without permits, as another gateway may have issued those
   * of the time before.
   */
  static create({ clock }: { clock: Clock }): PermitSchedule {
    return new PermitSchedule(clock);
  }

  /** Permits issued in the last second; at most 1,000 are counted. */
  get issuedLately(): number {
    const since = this.#clock.now() - MS_PER_S;
    return this.#issuedAt.filter((at) => at > since).length;
  }

  /** Takes a permit, at a rate that may differ from that of the last call. */
  take(
    permitClass: PermitClass,
    { requester, ratePerS }: { requester: PermitRequester; ratePerS: number },
  ): PermitResult {
    const now = this.#refill(ratePerS);
    const { organisation, request } = requester;
    const promise = this.#promises.findIndex((entry) =>
      entry.request === request && entry.organisation === organisation &&
      entry.at <= now
    );
    const hasOne = this.#permits >= 1 - ROUNDING;
    if (permitClass === "any" && promise >= 0 && hasOne) {
      this.#promises.splice(promise, 1);
      return this.#grant(requester, now);
    }
    const required = permitClass === "any"
      ? 1
      : 1 + RESERVED_SHARE * capacityOf(ratePerS);
    if (this.#permits < required) {
      const missing = required - this.#permits;
      return this.#deny(requester, now, missing / ratePerS * MS_PER_S);
    }
    const wouldBeLost = this.#permits >= capacityOf(ratePerS);
    if (
      !this.#canKeep(this.#promises, { now, taken: 1 }) ||
      (!wouldBeLost && this.#isAhead(organisation, now))
    ) {
      return this.#deny(requester, now, MS_PER_S / ratePerS);
    }
    return this.#grant(requester, now);
  }

  /**
   * Promises a request the next permit that can be, if that is within a time.
   * Returns the time until then, in ms, whether or not it is promised.
   */
  promise(
    { organisation, request, priority }: PermitRequester,
    { ratePerS, withinMs }: { ratePerS: number; withinMs: number },
  ): { readonly inMs: number; readonly isPromised: boolean } {
    const now = this.#refill(ratePerS);
    const gapMs = MS_PER_S / ratePerS;
    const usage = this.#usageOf(organisation, now);
    usage.weight = weightOf(priority);
    const places = Math.max(MIN_PLACES, this.#partsOf(organisation, now));
    let at = Math.max(
      now + Math.max(0, 1 - this.#permits) * gapMs,
      usage.lastPermitAt + places * Math.max(gapMs, PROMISE_HOLD_MS),
    );
    const latest = now + Math.min(withinMs, MAX_PROMISE_MS);
    const isRoom = this.#promises.length < MAX_PROMISES;
    while (at <= latest && isRoom) {
      const promises = [...this.#promises, { organisation, request, at }]
        .sort((a, b) => a.at - b.at);
      const heldUntil = this.#heldUntil(at);
      if (heldUntil !== undefined) at = heldUntil;
      else if (!this.#canKeep(promises, { now, taken: 0 })) at += gapMs;
      else {
        this.#promises = promises;
        usage.lastPermitAt = at;
        return { inMs: at - now, isPromised: true };
      }
    }
    return { inMs: at - now, isPromised: false };
  }

  /** Adds the permits since the last call; returns the time. */
  #refill(ratePerS: number): number {
    const now = this.#clock.now();
    const elapsedMs = now - this.#updatedAt;
    this.#updatedAt = now;
    this.#permits = Math.min(
      capacityOf(ratePerS),
      this.#permits + elapsedMs * this.#ratePerS / MS_PER_S,
    );
    this.#ratePerS = ratePerS;
    this.#promises = this.#promises
      .filter(({ at }) => at + PROMISE_HOLD_MS >= now);
    return now;
  }

  /**
   * Time from which one more permit may be kept, if it may not at the given time.
   * Callers may not come back, and permits that are kept for them must not fill
   * the bucket.
   */
  #heldUntil(at: number): number | undefined {
    const held = this.#promises.filter((entry) =>
      Math.abs(entry.at - at) < PROMISE_HOLD_MS - ROUNDING
    );
    const most = Math.floor(capacityOf(this.#ratePerS) * PROMISED_SHARE);
    if (held.length < Math.max(1, most)) return undefined;
    return held[0]!.at + PROMISE_HOLD_MS;
  }

  /** Whether promises can be kept if some permits are taken now. */
  #canKeep(
    promises: readonly PermitPromise[],
    { now, taken }: { now: number; taken: number },
  ): boolean {
    return promises.every(({ at }, index) => {
      const untilThen = Math.max(0, at - now) * this.#ratePerS / MS_PER_S;
      const permits = this.#permits - taken + untilThen;
      return permits >= index + 1 - ROUNDING;
    });
  }

  #grant(
    { organisation, priority }: PermitRequester,
    now: number,
  ): PermitResult {
    this.#permits -= 1;
    this.#recordIssued(now);
    const usage = this.#usageOf(organisation, now);
    usage.cost += 1 / weightOf(priority);
    usage.requestedAt = now;
    usage.lastPermitAt = Math.max(usage.lastPermitAt, now);
    return GRANTED;
  }

  #recordIssued(now: number): void {
    this.#issuedAt.push(now);
    const isOld = this.#issuedAt[0]! <= now - MS_PER_S;
    if (isOld || this.#issuedAt.length > MAX_COUNTED) this.#issuedAt.shift();
  }

  #deny(
    { organisation }: PermitRequester,
    now: number,
    retryInMs: number,
  ): PermitResult {
    this.#usageOf(organisation, now).requestedAt = now;
    return { granted: false, retryInMs };
  }

  /** Whether an organisation has got more than another one that is denied. */
  #isAhead(organisation: string, now: number): boolean {
    const { cost } = this.#usageOf(organisation, now);
    for (const [other, { requestedAt }] of this.#usage) {
      if (other === organisation || now - requestedAt > CONTENTION_MS) continue;
      if (this.#usageOf(other, now).cost < cost) return true;
    }
    return false;
  }

  /**
   * Number of permits of which one is an organisation's fair part, by the weights
   * of those that compete.
   */
  #partsOf(organisation: string, now: number): number {
    const own = this.#usageOf(organisation, now).weight;
    let sum = own;
    for (const [other, { requestedAt, weight }] of this.#usage) {
      if (other === organisation || now - requestedAt > CONTENTION_MS) continue;
      sum += weight;
    }
    return sum / own;
  }

  #usageOf(organisation: string, now: number): Usage {
    let usage = this.#usage.get(organisation);
    if (!usage) {
      this.#forgetIdle(now);
      usage = {
        cost: 0,
        weight: 1,
        updatedAt: now,
        lastPermitAt: -Infinity,
        requestedAt: -Infinity,
      };
      this.#usage.set(organisation, usage);
    }
    usage.cost *= 2 ** ((usage.updatedAt - now) / USAGE_HALF_LIFE_MS);
    usage.updatedAt = now;
    return usage;
  }

  #forgetIdle(now: number): void {
    for (const [organisation, { updatedAt, requestedAt }] of this.#usage) {
      if (now - Math.max(updatedAt, requestedAt) < FORGET_MS) continue;
      this.#usage.delete(organisation);
    }
  }
}

/** Weight of an organisation's request in the division of the permits. */
function weightOf(priority: number): number {
  return 1 / (1 + Math.min(priority, LOWEST_PRIORITY));
}

function capacityOf(ratePerS: number): number {
  return Math.max(MIN_CAPACITY, ratePerS * CAPACITY_MS / MS_PER_S);
}
