import { LRUCache } from "lru-cache";
import type { Clock } from "@banyanspool/types";
import {
  partSuspect,
  type RequestFingerprint,
  requestSuspect,
  type Suspect,
} from "./suspect.ts";

/** A crashed replica and the requests that it ran. */
export interface ReplicaCrash {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Requests that were in flight. */
  readonly requests: readonly RequestFingerprint[];
  /** Time since the crash, in ms. */
  readonly ageMs: number;
}

/** The last complete response to a request, or to one with a prompt part. */
export interface Completion {
  /** The request or part. */
  readonly suspect: Suspect;
  /** Time since the response was complete, in ms. */
  readonly ageMs: number;
}

/** A crash, with what all gateways had in flight as far as it is known. */
export interface CrashRecord {
  /** When it was noticed, in ms. */
  readonly at: number;
  /** Requests in flight, by digest. */
  readonly requests: Map<string, RequestFingerprint>;
  /** Digests of this gateway's own requests. */
  readonly own: Set<string>;
  /** The requests and the parts of their prompts. */
  readonly suspects: Set<Suspect>;
}

/** Time for which a crash counts, in ms. */
const CRASH_WINDOW_MS = 300_000;
const MAX_CRASHES = 64;
const MAX_REQUESTS_PER_CRASH = 256;
const MAX_COMPLETIONS = 8192;
/** Time for which crashes and completions are reported to other gateways, in ms. */
const REPORT_MS = 10_000;
/** Limits of the numbers of entries in a report. */
const MAX_REPORTED_CRASHES = 8;
const MAX_REPORTED_REQUESTS = 64;
const MAX_REPORTED_COMPLETIONS = 128;
/**
 * Time after a crash at which the other gateways have reported what they had in
 * flight, in ms. Parts are judged after it, as a request that explains the crash
 * may be another gateway's.
 */
export const COMPLETE_AFTER_MS = 200;

/**
 * Crashes of replicas with the requests that were in flight, and the last
 * completion of each suspect. What crashes each replica never completes, so that
 * a completion clears a suspect of all earlier crashes.
 */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #crashes: Map<string, CrashRecord> = new Map();
  readonly #ownCompletions: LRUCache<Suspect, number> = new LRUCache({
    max: MAX_COMPLETIONS,
  });
  readonly #peerCompletions: LRUCache<Suspect, number> = new LRUCache({
    max: MAX_COMPLETIONS,
  });
  /** When the report of each own completion that may clear a suspect ends. */
  readonly #reportedUntil: Map<Suspect, number> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates empty evidence. */
  static create(clock: Clock): CrashEvidence {
    return new CrashEvidence(clock);
  }

  /** Adds the requests that this gateway had in flight at a crashed replica. */
  recordOwnCrash(
    replica: string,
    requests: readonly RequestFingerprint[],
  ): void {
    const record = this.#record(replica, this.#clock.now());
    for (const request of requests) {
      this.#addRequest(record, request);
      if (record.requests.has(request.digest)) record.own.add(request.digest);
    }
  }

  /**
   * Adds the requests that another gateway had in flight at a crashed replica.
   * Returns whether any of them is new.
   */
  recordPeerCrash({ replica, requests, ageMs }: ReplicaCrash): boolean {
    if (ageMs > CRASH_WINDOW_MS) return false;
    const record = this.#record(replica, this.#clock.now() - ageMs);
    const before = record.requests.size;
    for (const request of requests) this.#addRequest(record, request);
    return record.requests.size > before;
  }

  /**
   * Records that this gateway relayed a complete response. It clears the parts of
   * the prompt only if the replica generated it.
   */
  recordOwnCompletion(
    request: RequestFingerprint,
    { isGenerated }: { isGenerated: boolean },
  ): void {
    const now = this.#clock.now();
    if (isGenerated) {
      for (const part of request.parts) {
        const suspect = partSuspect(part);
        if (this.#isSuspected(suspect)) this.#reportUntil(suspect, now);
        this.#ownCompletions.set(suspect, now);
      }
    }
    if (this.#crashes.size === 0) return;
    const suspect = requestSuspect(request.digest);
    if (!this.#isSuspected(suspect)) return;
    this.#reportUntil(suspect, now);
    this.#ownCompletions.set(suspect, now);
  }

  /** Records that another gateway relayed a complete response. */
  recordPeerCompletion({ suspect, ageMs }: Completion): void {
    const at = this.#clock.now() - ageMs;
    const before = this.#peerCompletions.peek(suspect) ?? -Infinity;
    this.#peerCompletions.set(suspect, Math.max(at, before));
  }

  /** When a response of the suspect was last complete; -Infinity if never. */
  completedAt(suspect: Suspect): number {
    return Math.max(
      this.#ownCompletions.peek(suspect) ?? -Infinity,
      this.#peerCompletions.peek(suspect) ?? -Infinity,
    );
  }

  /** Whether a replica crashed with a request since it last completed. */
  isRequestSuspected({ digest }: { readonly digest: string }): boolean {
    return this.#crashes.size > 0 &&
      this.#isSuspected(requestSuspect(digest));
  }

  /**
   * Whether a replica crashed since then with the suspect in flight and none of
   * the other possible causes.
   */
  hasCrashedAlone(
    suspect: Suspect,
    { since, causes }: { since: number; causes: ReadonlySet<Suspect> },
  ): boolean {
    const from = Math.max(since, this.completedAt(suspect));
    return this.recent().some((crash) =>
      crash.at > from && crash.suspects.has(suspect) &&
      ![...causes].some((cause) =>
        cause !== suspect && crash.suspects.has(cause)
      )
    );
  }

  /** When the evidence of the next crash is complete; Infinity if there is none. */
  nextCompleteAt(): number {
    const now = this.#clock.now();
    let next = Infinity;
    for (const { at } of this.#crashes.values()) {
      const completeAt = at + COMPLETE_AFTER_MS;
      if (completeAt > now) next = Math.min(next, completeAt);
    }
    return next;
  }

  /** Returns this gateway's recent crashes, for the other gateways. */
  reportCrashes(): ReplicaCrash[] {
    const now = this.#clock.now();
    return [...this.#crashes]
      .map(([replica, { at, own, requests }]) => ({
        replica,
        requests: [...own]
          .filter((digest) => this.completedAt(requestSuspect(digest)) < at)
          .slice(0, MAX_REPORTED_REQUESTS)
          .map((digest) => requests.get(digest)!),
        ageMs: now - at,
      }))
      .filter(({ ageMs, requests }) => requests.length > 0 && ageMs < REPORT_MS)
      .slice(-MAX_REPORTED_CRASHES);
  }

  /** Returns this gateway's completions that may clear suspects. */
  reportCompletions(): Completion[] {
    const now = this.#clock.now();
    const reported: Completion[] = [];
    for (const [suspect, until] of this.#reportedUntil) {
      const at = this.#ownCompletions.peek(suspect);
      if (until < now || at === undefined) this.#reportedUntil.delete(suspect);
      else reported.push({ suspect, ageMs: now - at });
    }
    return reported.slice(-MAX_REPORTED_COMPLETIONS);
  }

  #reportUntil(suspect: Suspect, now: number): void {
    this.#reportedUntil.set(suspect, now + REPORT_MS);
  }

  /** Adds a request to a crash, and reports what clears it if it is known. */
  #addRequest(
    { requests, suspects }: CrashRecord,
    { digest, parts }: RequestFingerprint,
  ): void {
    if (requests.has(digest) || requests.size >= MAX_REQUESTS_PER_CRASH) return;
    requests.set(digest, { digest, parts });
    suspects.add(requestSuspect(digest));
    const now = this.#clock.now();
    for (const part of parts) {
      const suspect = partSuspect(part);
      suspects.add(suspect);
      if (this.#ownCompletions.peek(suspect) === undefined) continue;
      this.#reportUntil(suspect, now);
    }
  }

  /** Whether a replica crashed with the suspect since its last completion. */
  #isSuspected(suspect: Suspect): boolean {
    if (this.#crashes.size === 0) return false;
    const completedAt = this.completedAt(suspect);
    for (const crash of this.#crashes.values()) {
      if (crash.at > completedAt && crash.suspects.has(suspect)) return true;
    }
    return false;
  }

  #record(replica: string, at: number): CrashRecord {
    const known = this.#crashes.get(replica);
    if (known) return known;
    const record = {
      at,
      requests: new Map<string, RequestFingerprint>(),
      own: new Set<string>(),
      suspects: new Set<Suspect>(),
    };
    this.#crashes.set(replica, record);
    const oldest = this.#crashes.keys().next().value;
    if (this.#crashes.size > MAX_CRASHES && oldest !== undefined) {
      this.#crashes.delete(oldest);
    }
    return record;
  }

  /** Crashes that still count, in order of time. */
  /** Crashes that still count, in order of time. */
  recent(): CrashRecord[] {
    const since = this.#clock.now() - CRASH_WINDOW_MS;
    for (const [replica, { at }] of this.#crashes) {
      if (at < since) this.#crashes.delete(replica);
    }
    return [...this.#crashes.values()].sort((a, b) => a.at - b.at);
  }
}
