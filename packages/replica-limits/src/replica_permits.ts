import type { Clock, Random, Sleep } from "@banyanspool/types";
import { ClaimBudget } from "./claim_budget.ts";
import {
  GRANTED,
  type PermitClass,
  type PermitRequester,
  type PermitResult,
  PermitSchedule,
} from "./permit_schedule.ts";

/** A request for a permit, from one gateway to the issuer. */
export interface PermitQuery {
  /** Returned with the answer. */
  readonly id: bigint;
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Limit that the sender knows, in requests a second. */
  readonly ratePerS: number;
  /** Which permits the request may take. */
  readonly permitClass: PermitClass;
  /** On whose behalf. */
  readonly requester: PermitRequester;
  /**
   * Time within which a permit is to be promised instead of issued, in ms;
   * undefined to take one now.
   */
  readonly promiseWithinMs?: number;
}

/** The issuer's answer to a query. */
export interface PermitAnswer {
  /** Id of the query. */
  readonly id: bigint;
  /** Whether a permit was issued, and if not, when one may be. */
  readonly result: PermitResult;
}

/** A message between gateways about permits. */
export interface PermitMessage {
  /** Queries to the receiver. */
  readonly queries: readonly PermitQuery[];
  /** Answers to the receiver's queries. */
  readonly answers: readonly PermitAnswer[];
}

/** Options of {@link ReplicaPermits.create}. */
export interface ReplicaPermitsOptions {
  /** Time source. */
  readonly clock: Clock;
  /** Sleep function; rejects when its signal is aborted. */
  readonly sleep: Sleep;
  /** Random numbers from 0 to 1. */
  readonly random: Random;
  /** Name of this gateway. */
  readonly instance: string;
  /** Limit of a replica, in requests a second; undefined if it has none. */
  readonly limitOf: (replica: string) => number | undefined;
  /** Live gateways, including this one, the preferred issuer first. */
  readonly issuersOf: (replica: string) => readonly string[];
  /** Whether another gateway reported within the last few report intervals. */
  readonly isResponsive: (instance: string) => boolean;
  /**
   * Share of the gateways of the last minute that report now, including this
   * one. The two sides of a cut each issue their share of the permits.
   */
  readonly reachableShare: () => number;
  /** Whether this gateway may issue permits of a replica; by default it may. */
  readonly mayIssue?: (replica: string) => boolean;
  /** Sends a message to another gateway; it may be lost. */
  readonly send: (instance: string, message: PermitMessage) => void;
}

/** What a replica takes now, as far as this gateway knows. */
export type PermitState =
  /** It has no limit. */
  | "unlimited"
  /** It may take any request. */
  | "available"
  /** It may take requests that no other replica could serve. */
  | "reserved"
  /** It takes no request now. */
  | "exhausted";

interface PendingQuery {
  result: PermitResult | undefined;
  readonly wake: () => void;
}

/** Requester of orders and reads of reports. */
const OWN_CALLS: PermitRequester = {
  organisation: "",
  priority: 0,
  request: "",
};
/** Time after which a query counts as lost, in ms. */
const QUERY_TIMEOUT_MS = 120;
/** Time until the next query after a lost one, in ms. */
const LOST_QUERY_RETRY_MS = 200;
/** Time until the next query after one to a gateway that isn't the issuer. */
const OTHER_ISSUER_RETRY_MS = 100;
const MIN_RETRY_MS = 10;
/** Share of a retry time by which it is lengthened at random. */
const JITTER_SHARE = 0.25;
/**
 * Lowest rate at which permits are issued, in requests a second. Only a response
 * tells that a limit of 0 has ended.
 */
const MIN_RATE_PER_S = 0.1;

/**
 * Issues permits for requests to replicas with a limit, so that all gateways
 * together keep it. One gateway issues the permits of a replica, and the others
 * ask it for each request; which one it is follows from the live gateways. A lost
 * message loses a permit. After a permit was denied, this gateway doesn't ask
 * again before the time at which the issuer expects to have one.
 */
export class ReplicaPermits {
  readonly #options: ReplicaPermitsOptions;
  readonly #schedules: Map<string, PermitSchedule> = new Map();
  readonly #deniedUntil: Map<string, Record<PermitClass, number>> = new Map();
  readonly #pending: Map<bigint, PendingQuery> = new Map();
  readonly #claims: ClaimBudget;
  #nextId: bigint;

  private constructor(options: ReplicaPermitsOptions) {
    this.#options = options;
    this.#claims = ClaimBudget.create({ clock: options.clock });
    // An answer to a query of an earlier process must not match.
    this.#nextId = BigInt(Math.floor(options.random() * 2 ** 48));
  }

  /** Creates an issuer without permits. */
  static create(options: ReplicaPermitsOptions): ReplicaPermits {
    return new ReplicaPermits(options);
  }

  /** What a replica takes now. */
  stateOf(replica: string): PermitState {
    if (this.#options.limitOf(replica) === undefined) return "unlimited";
    if (this.retryInMs(replica, "any") > 0) return "exhausted";
    return this.retryInMs(replica, "spare") > 0 ? "reserved" : "available";
  }

  /** Time until a permit may be available, in ms; 0 if it may be now. */
  retryInMs(replica: string, permitClass: PermitClass): number {
    const until = this.#deniedUntil.get(replica)?.[permitClass] ?? 0;
    return Math.max(0, until - this.#options.clock.now());
  }

  /**
   * Takes a permit for one request to a replica. It has to be sent soon
   * afterwards or not at all. Granted at once if the replica has no limit, and
   * denied without asking the issuer until the time that it named.
   */
  async acquire(
    replica: string,
    permitClass: PermitClass,
    requester: PermitRequester,
  ): Promise<PermitResult> {
    if (this.#options.limitOf(replica) === undefined) return GRANTED;
    const retryInMs = this.retryInMs(replica, permitClass);
    if (retryInMs > 0) return { granted: false, retryInMs };
    const result = await this.#ask({ replica, permitClass, requester });
    if (!result.granted) this.#recordDenial(replica, permitClass, result);
    return result;
  }

  /**
   * Takes a permit that was promised to an earlier attempt at the request, or has
   * one promised to the next attempt if that is within a time. A denial names the
   * time until it is expected, whether or not it was promised.
   */
  async claim(
    replica: string,
    requester: PermitRequester,
    { withinMs }: { withinMs: number },
  ): Promise<PermitResult> {
    const ratePerS = this.#options.limitOf(replica) ?? 0;
    const { organisation } = requester;
    if (!this.#claims.take(replica, { organisation, ratePerS })) {
      return { granted: false, retryInMs: this.retryInMs(replica, "any") };
    }
    return await this.#ask({
      replica,
      permitClass: "any",
      requester,
      promiseWithinMs: Math.max(0, withinMs),
    });
  }

  /** Waits for a permit for a gateway's own call; rejects when aborted. */
  async wait(replica: string, signal?: AbortSignal): Promise<void> {
    while (true) {
      const result = await this.acquire(replica, "any", OWN_CALLS);
      if (result.granted) return;
      await this.#options.sleep(
        Math.max(MIN_RETRY_MS, this.retryInMs(replica, "any")),
        signal,
      );
    }
  }

  /** Handles a message of another gateway. */
  receive(from: string, { queries, answers }: PermitMessage): void {
    for (const { id, result } of answers) {
      const pending = this.#pending.get(id);
      if (!pending) continue;
      pending.result = result;
      pending.wake();
    }
    if (queries.length === 0) return;
    this.#options.send(from, {
      queries: [],
      answers: queries.map((query) => ({
        id: query.id,
        result: this.#answer(query),
      })),
    });
  }

  /** Removes all replicas but these. */
  retain(replicas: ReadonlySet<string>): void {
    this.#claims.retain(replicas);
    for (const state of [this.#schedules, this.#deniedUntil]) {
      for (const replica of state.keys()) {
        if (!replicas.has(replica)) state.delete(replica);
      }
    }
  }

  /** Limit of a replica, in requests a second; undefined if it has none. */
  limitOf(replica: string): number | undefined {
    return this.#options.limitOf(replica);
  }

  /** Permits that this gateway issued for a replica in the last second. */
  issuedLately(replica: string): number {
    return this.#schedules.get(replica)?.issuedLately ?? 0;
  }

  /** The first gateway in the ranking that reports; this one at the latest. */
  issuerOf(replica: string): string {
    const { instance, issuersOf, isResponsive } = this.#options;
    const issuer = issuersOf(replica).find((candidate) =>
      candidate === instance || isResponsive(candidate)
    );
    return issuer ?? instance;
  }

  async #ask(
    query: Omit<PermitQuery, "id" | "ratePerS">,
  ): Promise<PermitResult> {
    const { instance, limitOf } = this.#options;
    const ratePerS = limitOf(query.replica);
    if (ratePerS === undefined) return GRANTED;
    const issuer = this.issuerOf(query.replica);
    return issuer === instance
      ? this.#issue({ ...query, ratePerS })
      : await this.#query(issuer, { ...query, ratePerS });
  }

  #answer(query: PermitQuery): PermitResult {
    const { instance, limitOf } = this.#options;
    // Both gateways must agree on the issuer, or two would issue permits.
    if (this.issuerOf(query.replica) !== instance) {
      return { granted: false, retryInMs: OTHER_ISSUER_RETRY_MS };
    }
    const ratePerS = limitOf(query.replica) ?? query.ratePerS;
    return this.#issue({ ...query, ratePerS });
  }

  #issue(
    { replica, ratePerS, permitClass, requester, promiseWithinMs }: Omit<
      PermitQuery,
      "id"
    >,
  ): PermitResult {
    const { clock, reachableShare, mayIssue } = this.#options;
    if (mayIssue && !mayIssue(replica)) {
      return { granted: false, retryInMs: OTHER_ISSUER_RETRY_MS };
    }
    const schedule = this.#schedules.get(replica) ??
      PermitSchedule.create({ clock });
    this.#schedules.set(replica, schedule);
    const issuedPerS = Math.max(MIN_RATE_PER_S, ratePerS * reachableShare());
    const options = { requester, ratePerS: issuedPerS };
    const result = schedule.take(permitClass, options);
    if (result.granted || promiseWithinMs === undefined) return result;
    const { inMs } = schedule.promise(requester, {
      ratePerS: issuedPerS,
      withinMs: promiseWithinMs,
    });
    return { granted: false, retryInMs: inMs };
  }

  async #query(
    issuer: string,
    query: Omit<PermitQuery, "id">,
  ): Promise<PermitResult> {
    const { send, sleep } = this.#options;
    this.#nextId += 1n;
    const id = this.#nextId;
    const answered = new AbortController();
    const pending: PendingQuery = {
      result: undefined,
      wake: () => answered.abort(),
    };
    this.#pending.set(id, pending);
    send(issuer, { queries: [{ ...query, id }], answers: [] });
    await sleep(QUERY_TIMEOUT_MS, answered.signal).catch(() => {});
    this.#pending.delete(id);
    return pending.result ??
      { granted: false, retryInMs: LOST_QUERY_RETRY_MS };
  }

  #recordDenial(
    replica: string,
    permitClass: PermitClass,
    { retryInMs }: { retryInMs: number },
  ): void {
    const { clock, random } = this.#options;
    const jitter = 1 + JITTER_SHARE * random();
    const until = clock.now() + Math.max(MIN_RETRY_MS, retryInMs * jitter);
    const known = this.#deniedUntil.get(replica);
    this.#deniedUntil.set(replica, {
      any: permitClass === "any" ? until : known?.any ?? 0,
      // Where there is no permit at all, there is no spare one.
      spare: Math.max(known?.spare ?? 0, until),
    });
  }
}
