import type { Clock } from "@banyanspool/types";
import { type Cause, findParts, findRequests } from "./crash_causes.ts";
import {
  COMPLETE_AFTER_MS,
  type Completion,
  CrashEvidence,
  type ReplicaCrash,
} from "./crash_evidence.ts";
import {
  isRequest,
  partSuspect,
  type RequestFingerprint,
  requestSuspect,
  type Suspect,
} from "./suspect.ts";

/** A request, or a part of prompts, that is kept away from replicas. */
export interface QuarantinedSuspect {
  /** The request or part. */
  readonly suspect: Suspect;
  /** Time since its quarantine began, in ms. */
  readonly ageMs: number;
  /** Time until its quarantine ends, in ms; negative once it has. */
  readonly remainingMs: number;
}

/** What a gateway tells the others about crashes. */
export interface QuarantineReport {
  /** Crashes with requests of the sender in flight. */
  readonly crashes: readonly ReplicaCrash[];
  /** Last completions, at the sender, that may clear suspects. */
  readonly completions: readonly Completion[];
  /** Suspects in quarantine. */
  readonly quarantined: readonly QuarantinedSuspect[];
}

/** Options of {@link Quarantine.create}. */
export interface QuarantineOptions {
  /** Time source. */
  readonly clock: Clock;
  /**
   * Whether this gateway is the one that tries a suspect after its quarantine.
   * One gateway at a time should be.
   */
  readonly isTrialOwner: (suspect: Suspect) => boolean;
  /** Called when a suspect is put into quarantine, with the duration in ms. */
  readonly onStart: (suspect: Suspect, durationMs: number) => void;
  /** Called when a completed request has ended a suspect's quarantine. */
  readonly onCleared: (suspect: Suspect) => void;
}

interface QuarantineState {
  startedAt: number;
  endsAt: number;
  /** When this gateway last let a request through as a trial. */
  triedAt: number;
}

const FIRST_QUARANTINE_MS = 60_000;
/** Duration after a crash that followed a quarantine of the same suspect. */
const REPEATED_QUARANTINE_MS = 600_000;
/** Time after the end of a quarantine at which it is forgotten, in ms. */
const FORGET_AFTER_MS = 600_000;
/** Minimum time between two trials of a suspect, in ms. */
const TRIAL_INTERVAL_MS = 10_000;
const MAX_QUARANTINES = 64;
/** Ages in reports differ by the time for which they were under way, in ms. */
const REPORT_TOLERANCE_MS = 1000;

/**
 * Keeps requests away from replicas that crash each replica that runs them,
 * alone or because of a part of their prompts. When a quarantine has ended, one
 * request at a time is let through as a trial: a completion clears the suspect, a
 * crash renews the quarantine. Suspects whose guilt isn't certain are tried at
 * once.
 */
export class Quarantine {
  readonly #options: QuarantineOptions;
  readonly #evidence: CrashEvidence;
  readonly #quarantines: Map<Suspect, QuarantineState> = new Map();
  /** When parts are to be judged by the evidence of the next crash. */
  #partsDueAt = Infinity;

  private constructor(options: QuarantineOptions) {
    this.#options = options;
    this.#evidence = CrashEvidence.create(options.clock);
  }

  /** Creates a quarantine without suspects. */
  static create(options: QuarantineOptions): Quarantine {
    return new Quarantine(options);
  }

  /** Adds the requests that this gateway had in flight at a crashed replica. */
  recordCrash(replica: string, requests: readonly RequestFingerprint[]): void {
    this.#evidence.recordOwnCrash(replica, requests);
    this.#endQuarantines();
    this.#judgeCrashes();
  }

  /**
   * Records that a request was answered completely; `isGenerated` if the replica
   * wrote an answer to its prompt.
   */
  recordCompletion(
    request: RequestFingerprint,
    options: { isGenerated: boolean },
  ): void {
    this.#evidence.recordOwnCompletion(request, options);
    if (this.#endQuarantines()) this.#judgeCrashes();
  }

  /**
   * Applies another gateway's report. Returns whether it has crashes that this
   * gateway didn't know, whose suspects it may be able to clear.
   */
  applyReport(report: QuarantineReport): boolean {
    const { crashes, completions, quarantined } = report;
    let hasNewCrashes = false;
    for (const crash of crashes) {
      if (this.#evidence.recordPeerCrash(crash)) hasNewCrashes = true;
    }
    for (const completion of completions) {
      this.#evidence.recordPeerCompletion(completion);
    }
    for (const entry of quarantined) this.#applyQuarantine(entry);
    const hasEnded = this.#endQuarantines();
    if (hasNewCrashes || hasEnded) this.#judgeCrashes();
    return hasNewCrashes;
  }

  /** Suspects in quarantine. */
  get quarantined(): QuarantinedSuspect[] {
    const now = this.#options.clock.now();
    return [...this.#quarantines].map(([suspect, { startedAt, endsAt }]) => ({
      suspect,
      ageMs: now - startedAt,
      remainingMs: endsAt - now,
    }));
  }

  /** Returns what the other gateways need to know. */
  report(): QuarantineReport {
    this.#judgeParts();
    return {
      crashes: this.#evidence.reportCrashes(),
      completions: this.#evidence.reportCompletions(),
      quarantined: this.quarantined,
    };
  }

  /**
   * Returns the suspect because of which a request must not be sent, and when it
   * may be; undefined if it may be sent now. A request with two suspects that are
   * to be tried couldn't tell which of them crashes a replica. `mayTry` tells
   * whether a replica may be risked for a trial.
   */
  check(
    request: RequestFingerprint,
    { mayTry = () => true }: { mayTry?: () => boolean } = {},
  ): { suspect: Suspect; retryAfterMs: number } | undefined {
    this.#judgeParts();
    if (this.#quarantines.size === 0) return undefined;
    const now = this.#options.clock.now();
    let hasTrial = false;
    for (const suspect of suspectsOf(request)) {
      const quarantine = this.#quarantines.get(suspect);
      if (!quarantine) continue;
      const { endsAt, triedAt } = quarantine;
      if (endsAt > now) return { suspect, retryAfterMs: endsAt - now };
      if (now - endsAt > FORGET_AFTER_MS) continue;
      const isAllowed = !hasTrial && now - triedAt >= TRIAL_INTERVAL_MS &&
        this.#options.isTrialOwner(suspect) && mayTry();
      if (!isAllowed) return { suspect, retryAfterMs: TRIAL_INTERVAL_MS };
      hasTrial = true;
    }
    return undefined;
  }

  /** Whether a replica crashed with a request since it last completed. */
  isSuspected(request: RequestFingerprint): boolean {
    return this.#evidence.isRequestSuspected(request);
  }

  /** Records that a request for which `check` allowed it is sent. */
  recordSent(request: RequestFingerprint): void {
    if (this.#quarantines.size === 0) return;
    for (const suspect of suspectsOf(request)) {
      const quarantine = this.#quarantines.get(suspect);
      if (quarantine) quarantine.triedAt = this.#options.clock.now();
    }
  }

  #judgeCrashes(): void {
    const now = this.#options.clock.now();
    this.#partsDueAt = Math.min(this.#partsDueAt, now + COMPLETE_AFTER_MS);
    this.#judgeRequests();
  }

  #applyQuarantine({ suspect, ageMs, remainingMs }: QuarantinedSuspect): void {
    const now = this.#options.clock.now();
    const endsAt = now + remainingMs;
    const startedAt = now - ageMs;
    if (startedAt <= this.#evidence.completedAt(suspect)) return;
    if (now - endsAt > FORGET_AFTER_MS) return;
    const known = this.#quarantines.get(suspect);
    if (known && known.endsAt > endsAt - REPORT_TOLERANCE_MS) return;
    if (!known && this.#quarantines.size >= MAX_QUARANTINES) return;
    this.#start(suspect, { startedAt, endsAt, triedAt: known?.triedAt });
  }

  /**
   * Ends the quarantines of suspects that completed, and renews those of suspects
   * that crashed a replica after their quarantine. Returns whether any has ended.
   */
  #endQuarantines(): boolean {
    const { clock, onCleared } = this.#options;
    const now = clock.now();
    let hasEnded = false;
    for (const [suspect, { startedAt, endsAt }] of this.#quarantines) {
      const isCleared = this.#evidence.completedAt(suspect) >= startedAt;
      if (isCleared || now - endsAt > FORGET_AFTER_MS) {
        this.#quarantines.delete(suspect);
        hasEnded = true;
        if (isCleared) onCleared(suspect);
        continue;
      }
      const causes = new Set(this.#quarantines.keys());
      if (
        endsAt <= now &&
        this.#evidence.hasCrashedAlone(suspect, { since: endsAt, causes })
      ) {
        const renewedUntil = now + REPEATED_QUARANTINE_MS;
        this.#start(suspect, { startedAt: now, endsAt: renewedUntil });
      }
    }
    return hasEnded;
  }

  /** Starts quarantines of the requests that caused crashes. */
  #judgeRequests(): void {
    this.#startEach((known) => findRequests(this.#evidence, known));
  }

  /** Starts quarantines of the parts that caused crashes, once it can be told. */
  #judgeParts(): void {
    const now = this.#options.clock.now();
    if (now < this.#partsDueAt) return;
    this.#partsDueAt = this.#evidence.nextCompleteAt();
    this.#startEach((known) => {
      const knownParts = [...known].filter((suspect) => !isRequest(suspect));
      return findParts(this.#evidence, { knownParts, now });
    });
  }

  /**
   * Starts quarantines of causes until none is found. Where it may be one of
   * several, or isn't certain, all are tried at once, as most of them are sound.
   */
  #startEach(find: (known: ReadonlySet<Suspect>) => readonly Cause[]): void {
    const now = this.#options.clock.now();
    while (this.#quarantines.size < MAX_QUARANTINES) {
      const causes = find(new Set(this.#quarantines.keys()));
      if (causes.length === 0) return;
      for (const { suspect, isCertain } of causes) {
        const durationMs = isCertain && causes.length === 1
          ? FIRST_QUARANTINE_MS
          : 0;
        this.#start(suspect, { startedAt: now, endsAt: now + durationMs });
      }
    }
  }

  #start(
    suspect: Suspect,
    { startedAt, endsAt, triedAt = -Infinity }: {
      startedAt: number;
      endsAt: number;
      triedAt?: number;
    },
  ): void {
    const { clock, onStart } = this.#options;
    this.#quarantines.set(suspect, { startedAt, endsAt, triedAt });
    onStart(suspect, endsAt - clock.now());
  }
}

function suspectsOf({ digest, parts }: RequestFingerprint): Suspect[] {
  return [requestSuspect(digest), ...parts.map(partSuspect)];
}
