import type { Clock } from "@banyanspool/types";
import {
  CrashEvidence,
  type PartCompletion,
  type ReplicaCrash,
} from "./crash_evidence.ts";

/** A part of prompts that is kept away from replicas. */
export interface QuarantinedPart {
  /** Id of the part. */
  readonly part: string;
  /** Time since its quarantine began, in ms. */
  readonly ageMs: number;
  /** Time until its quarantine ends, in ms; negative once it has. */
  readonly remainingMs: number;
}

/** What a gateway tells the others about crashes. */
export interface QuarantineReport {
  /** Crashes with requests of the sender in flight. */
  readonly crashes: readonly ReplicaCrash[];
  /** Last completions, at the sender, that may clear parts of crashes. */
  readonly completions: readonly PartCompletion[];
  /** Parts in quarantine. */
  readonly quarantined: readonly QuarantinedPart[];
}

/** Options of {@link PromptQuarantine.create}. */
export interface PromptQuarantineOptions {
  /** Time source. */
  readonly clock: Clock;
  /**
   * Whether this gateway is the one that tries a part after its quarantine. One
   * gateway at a time should be.
   */
  readonly isTrialOwner: (part: string) => boolean;
  /** Called when a part is put into quarantine, with the duration in ms. */
  readonly onStart: (part: string, durationMs: number) => void;
  /** Called when a completed request has ended a part's quarantine. */
  readonly onCleared: (part: string) => void;
}

interface Quarantine {
  startedAt: number;
  endsAt: number;
  /** When this gateway last let a request through to try the part. */
  triedAt: number;
}

const FIRST_QUARANTINE_MS = 60_000;
/** Duration after a crash that followed a quarantine of the same part. */
const REPEATED_QUARANTINE_MS = 600_000;
/** Time after the end of a quarantine at which it is forgotten, in ms. */
const FORGET_AFTER_MS = 600_000;
/** Minimum time between two trials of a part, in ms. */
const TRIAL_INTERVAL_MS = 10_000;
const MAX_QUARANTINES = 64;
/** Ages in reports differ by the time for which they were under way, in ms. */
const REPORT_TOLERANCE_MS = 1000;

/**
 * Keeps requests away from replicas if a part of their prompt crashes each
 * replica that begins to answer it. When a quarantine has ended, one request at a
 * time tries the part: a completion clears it, a crash renews the quarantine.
 */
export class PromptQuarantine {
  readonly #options: PromptQuarantineOptions;
  readonly #evidence: CrashEvidence;
  readonly #quarantines: Map<string, Quarantine> = new Map();

  private constructor(options: PromptQuarantineOptions) {
    this.#options = options;
    this.#evidence = CrashEvidence.create(options.clock);
  }

  /** Creates a quarantine without parts. */
  static create(options: PromptQuarantineOptions): PromptQuarantine {
    return new PromptQuarantine(options);
  }

  /** Adds the parts that this gateway had in flight at a crashed replica. */
  recordCrash(replica: string, parts: readonly string[]): void {
    this.#evidence.recordOwnCrash(replica, parts);
    this.#endQuarantines();
    this.#startQuarantines();
  }

  /** Records that a request with these parts was answered completely. */
  recordCompletion(parts: readonly string[]): void {
    for (const part of parts) this.#evidence.recordOwnCompletion(part);
    if (this.#endQuarantines()) this.#startQuarantines();
  }

  /**
   * Applies another gateway's report. Returns whether it has crashes that this
   * gateway didn't know, whose parts it may be able to clear.
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
    if (this.#endQuarantines() || hasNewCrashes) this.#startQuarantines();
    return hasNewCrashes;
  }

  /** Returns what the other gateways need to know. */
  report(): QuarantineReport {
    const now = this.#options.clock.now();
    return {
      crashes: this.#evidence.reportCrashes(),
      completions: this.#evidence.reportCompletions(),
      quarantined: [...this.#quarantines].map((
        [part, { startedAt, endsAt }],
      ) => ({ part, ageMs: now - startedAt, remainingMs: endsAt - now })),
    };
  }

  /**
   * Returns the part because of which a request must not be sent, and when it
   * may be; undefined if it may be sent now. A request with two parts that are to
   * be tried couldn't tell which of them crashes a replica.
   */
  check(
    parts: readonly string[],
  ): { part: string; retryAfterMs: number } | undefined {
    const now = this.#options.clock.now();
    let hasTrial = false;
    for (const part of parts) {
      const quarantine = this.#quarantines.get(part);
      if (!quarantine) continue;
      const { endsAt, triedAt } = quarantine;
      if (endsAt > now) return { part, retryAfterMs: endsAt - now };
      if (now - endsAt > FORGET_AFTER_MS) continue;
      const mayTry = !hasTrial && now - triedAt >= TRIAL_INTERVAL_MS &&
        this.#options.isTrialOwner(part);
      if (!mayTry) return { part, retryAfterMs: TRIAL_INTERVAL_MS };
      hasTrial = true;
    }
    return undefined;
  }

  /** Records that a request for which `check` allowed it is sent. */
  recordSent(parts: readonly string[]): void {
    for (const part of parts) {
      const quarantine = this.#quarantines.get(part);
      if (quarantine) quarantine.triedAt = this.#options.clock.now();
    }
  }

  #applyQuarantine({ part, ageMs, remainingMs }: QuarantinedPart): void {
    const now = this.#options.clock.now();
    const endsAt = now + remainingMs;
    const startedAt = now - ageMs;
    if (startedAt <= this.#evidence.completedAt(part)) return;
    if (now - endsAt > FORGET_AFTER_MS) return;
    const known = this.#quarantines.get(part);
    if (known && known.endsAt > endsAt - REPORT_TOLERANCE_MS) return;
    if (!known && this.#quarantines.size >= MAX_QUARANTINES) return;
    this.#start(part, { startedAt, endsAt, triedAt: known?.triedAt });
  }

  /**
   * Ends the quarantines of parts that completed, and renews those of parts that
   * crashed a replica after their quarantine. Returns whether any has ended.
   */
  #endQuarantines(): boolean {
    const { clock, onCleared } = this.#options;
    const now = clock.now();
    let hasEnded = false;
    for (const [part, { startedAt, endsAt }] of this.#quarantines) {
      const isCleared = this.#evidence.completedAt(part) > startedAt;
      if (isCleared || now - endsAt > FORGET_AFTER_MS) {
        this.#quarantines.delete(part);
        hasEnded = true;
        if (isCleared) onCleared(part);
        continue;
      }
      const causes = new Set(this.#quarantines.keys());
      if (
        endsAt <= now &&
        this.#evidence.hasCrashedAlone(part, { since: endsAt, causes })
      ) {
        const renewedUntil = now + REPEATED_QUARANTINE_MS;
        this.#start(part, { startedAt: now, endsAt: renewedUntil });
      }
    }
    return hasEnded;
  }

  /**
   * Starts quarantines of the parts that caused crashes. Where it may be one of
   * several, all are tried at once, as most of them are sound.
   */
  #startQuarantines(): void {
    const now = this.#options.clock.now();
    while (this.#quarantines.size < MAX_QUARANTINES) {
      const causes = this.#evidence.findCauses(
        new Set(this.#quarantines.keys()),
      );
      if (causes.length === 0) return;
      const durationMs = causes.length === 1 ? FIRST_QUARANTINE_MS : 0;
      for (const part of causes) {
        this.#start(part, { startedAt: now, endsAt: now + durationMs });
      }
    }
  }

  #start(
    part: string,
    { startedAt, endsAt, triedAt = -Infinity }: {
      startedAt: number;
      endsAt: number;
      triedAt?: number;
    },
  ): void {
    const { clock, onStart } = this.#options;
    this.#quarantines.set(part, { startedAt, endsAt, triedAt });
    onStart(part, endsAt - clock.now());
  }
}
