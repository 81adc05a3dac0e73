import { LRUCache } from "lru-cache";
import type { Clock } from "@banyanspool/types";

/** A crashed replica and the prompt parts of the requests that it ran. */
export interface ReplicaCrash {
  /** Incarnation of the replica. */
  readonly replica: string;
  /** Ids of the parts. */
  readonly parts: readonly string[];
  /** Time since the crash, in ms. */
  readonly ageMs: number;
}

/** The last complete response to a request with a part. */
export interface PartCompletion {
  /** Id of the part. */
  readonly part: string;
  /** Time since the response was complete, in ms. */
  readonly ageMs: number;
}

interface CrashRecord {
  readonly at: number;
  readonly parts: Set<string>;
  /** Parts of this gateway's own requests. */
  readonly ownParts: Set<string>;
}

/** Time for which a crash counts, in ms. */
const CRASH_WINDOW_MS = 300_000;
const MAX_CRASHES = 64;
const MAX_PARTS_PER_CRASH = 256;
const MAX_COMPLETIONS = 8192;
/** Time for which crashes and completions are reported to other gateways, in ms. */
const REPORT_MS = 10_000;
/** Limits of the numbers of entries in a report. */
const MAX_REPORTED_CRASHES = 16;
const MAX_REPORTED_COMPLETIONS = 64;
/**
 * Crashes within this time may have one cause in common, such as a failed rack,
 * in ms. Together they have at most the weight of two.
 */
const COMMON_CAUSE_MS = 250;
const MAX_COMMON_CAUSE_WEIGHT = 2;
/** Weight of the crashes after which a part is taken for their cause. */
const QUARANTINE_WEIGHT = 3;

/**
 * Crashes of replicas with the prompt parts that were in flight, and the last
 * completion of each part. A part that crashes each replica that begins to answer
 * it never completes, so that a completion clears it of all earlier crashes.
 */
export class CrashEvidence {
  readonly #clock: Clock;
  readonly #crashes: Map<string, CrashRecord> = new Map();
  readonly #ownCompletions: LRUCache<string, number> = new LRUCache({
    max: MAX_COMPLETIONS,
  });
  readonly #peerCompletions: LRUCache<string, number> = new LRUCache({
    max: MAX_COMPLETIONS,
  });
  /** When the report of each own completion that may clear a part ends. */
  readonly #reportedUntil: Map<string, number> = new Map();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates empty evidence. */
  static create(clock: Clock): CrashEvidence {
    return new CrashEvidence(clock);
  }

  /** Adds the parts that this gateway had in flight at a crashed replica. */
  recordOwnCrash(replica: string, parts: readonly string[]): void {
    const record = this.#record(replica, this.#clock.now());
    for (const part of parts) {
      this.#addPart(record, part);
      addBounded(record.ownParts, part);
    }
  }

  /**
   * Adds the parts that another gateway had in flight at a crashed replica.
   * Returns whether any of them is new.
   */
  recordPeerCrash({ replica, parts, ageMs }: ReplicaCrash): boolean {
    if (ageMs > CRASH_WINDOW_MS) return false;
    const record = this.#record(replica, this.#clock.now() - ageMs);
    const before = record.parts.size;
    for (const part of parts) this.#addPart(record, part);
    return record.parts.size > before;
  }

  /** Records that this gateway relayed a complete response. */
  recordOwnCompletion(part: string): void {
    const now = this.#clock.now();
    if (this.#isSuspect(part)) this.#reportedUntil.set(part, now + REPORT_MS);
    this.#ownCompletions.set(part, now);
  }

  /** Records that another gateway relayed a complete response. */
  recordPeerCompletion({ part, ageMs }: PartCompletion): void {
    const at = this.#clock.now() - ageMs;
    const before = this.#peerCompletions.peek(part) ?? -Infinity;
    this.#peerCompletions.set(part, Math.max(at, before));
  }

  /** When a response with the part was last complete; -Infinity if never. */
  completedAt(part: string): number {
    return Math.max(
      this.#ownCompletions.peek(part) ?? -Infinity,
      this.#peerCompletions.peek(part) ?? -Infinity,
    );
  }

  /**
   * Whether a replica crashed since then with the part in flight and none of the
   * other possible causes.
   */
  hasCrashedAlone(
    part: string,
    { since, causes }: { since: number; causes: ReadonlySet<string> },
  ): boolean {
    const from = Math.max(since, this.completedAt(part));
    return this.#recent().some(({ at, parts }) =>
      at > from && parts.has(part) &&
      ![...causes].some((cause) => cause !== part && parts.has(cause))
    );
  }

  /**
   * Returns the parts that most likely caused the crashes that the known causes
   * don't explain; several if they are equally likely. Of parts with as many
   * crashes, those that completed least recently are likelier.
   */
  findCauses(knownCauses: ReadonlySet<string>): string[] {
    const unexplained = this.#recent().filter(({ at, parts }) =>
      ![...knownCauses].some((cause) =>
        parts.has(cause) && at > this.completedAt(cause)
      )
    );
    let likeliest: string[] = [];
    let best = { weight: QUARANTINE_WEIGHT, completedAt: Infinity };
    for (const part of new Set(unexplained.flatMap((c) => [...c.parts]))) {
      const completedAt = this.completedAt(part);
      const times = unexplained
        .filter(({ at, parts }) => at > completedAt && parts.has(part))
        .map(({ at }) => at);
      const weight = weigh(times);
      if (weight < best.weight) continue;
      if (weight === best.weight && completedAt > best.completedAt) continue;
      if (weight > best.weight || completedAt < best.completedAt) {
        likeliest = [];
      }
      best = { weight, completedAt };
      likeliest.push(part);
    }
    return likeliest;
  }

  /** Returns this gateway's recent crashes, for the other gateways. */
  reportCrashes(): ReplicaCrash[] {
    const now = this.#clock.now();
    return [...this.#crashes]
      .map(([replica, { at, ownParts }]) => ({
        replica,
        parts: [...ownParts],
        ageMs: now - at,
      }))
      .filter(({ ageMs, parts }) => parts.length > 0 && ageMs < REPORT_MS)
      .slice(-MAX_REPORTED_CRASHES);
  }

  /** Returns this gateway's completions that may clear parts of crashes. */
  reportCompletions(): PartCompletion[] {
    const now = this.#clock.now();
    const reported: PartCompletion[] = [];
    for (const [part, until] of this.#reportedUntil) {
      const at = this.#ownCompletions.peek(part);
      if (until < now || at === undefined) this.#reportedUntil.delete(part);
      else reported.push({ part, ageMs: now - at });
    }
    return reported.slice(-MAX_REPORTED_COMPLETIONS);
  }

  /** Adds a part to a crash, and reports its last completion if there is one. */
  #addPart({ parts }: CrashRecord, part: string): void {
    if (parts.has(part)) return;
    addBounded(parts, part);
    if (this.#ownCompletions.peek(part) === undefined) return;
    this.#reportedUntil.set(part, this.#clock.now() + REPORT_MS);
  }

  /** Whether a replica crashed with the part since its last completion. */
  #isSuspect(part: string): boolean {
    if (this.#crashes.size === 0) return false;
    const completedAt = this.completedAt(part);
    for (const { at, parts } of this.#crashes.values()) {
      if (at > completedAt && parts.has(part)) return true;
    }
    return false;
  }

  #record(replica: string, at: number): CrashRecord {
    const known = this.#crashes.get(replica);
    if (known) return known;
    const record = {
      at,
      parts: new Set<string>(),
      ownParts: new Set<string>(),
    };
    this.#crashes.set(replica, record);
    const oldest = this.#crashes.keys().next().value;
    if (this.#crashes.size > MAX_CRASHES && oldest !== undefined) {
      this.#crashes.delete(oldest);
    }
    return record;
  }

  #recent(): CrashRecord[] {
    const since = this.#clock.now() - CRASH_WINDOW_MS;
    for (const [replica, { at }] of this.#crashes) {
      if (at < since) this.#crashes.delete(replica);
    }
    return [...this.#crashes.values()].sort((a, b) => a.at - b.at);
  }
}

/** Weight of crashes at these times, which ascend. */
function weigh(times: readonly number[]): number {
  let weight = 0;
  let groupStart = -Infinity;
  let groupWeight = 0;
  for (const at of times) {
    if (at - groupStart > COMMON_CAUSE_MS) {
      groupStart = at;
      groupWeight = 0;
    }
    if (groupWeight >= MAX_COMMON_CAUSE_WEIGHT) continue;
    groupWeight += 1;
    weight += 1;
  }
  return weight;
}

function addBounded(parts: Set<string>, part: string): void {
  if (parts.size < MAX_PARTS_PER_CRASH) parts.add(part);
}
