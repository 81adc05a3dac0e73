/** Attempts and times of a request so far. */
export class RequestProgress {
  /** Ids of the replicas that the request was sent to, in order. */
  readonly replicas: string[] = [];
  /** Ids of the replicas that must not be tried again. */
  readonly excluded: Set<string> = new Set();
  /** Number of attempts in which a replica may have run the request. */
  possibleRuns = 0;
  /** Number of attempts in which the replica has not run the request. */
  rejections = 0;
  /**
   * Whether the next attempt takes nothing from the retry budget, because its
   * retry was taken earlier or the previous attempt was never sent.
   */
  hasReservedRetry = false;
  /**
   * Resolves when it is known whether the replica that cut off the last attempt
   * has crashed.
   */
  crashCheck: Promise<void> | undefined;
  /** Time that the request waited for a replica, in ms. */
  waitedMs = 0;
  /** Time to the first byte of the response, in ms. */
  firstByteMs: number | undefined;
  /** Longest pause between two events of a stream, in ms. */
  longestPauseMs: number | undefined;
  /** When the last event of a stream was received, in ms. */
  lastEventAt: number | undefined;
  /**
   * Software version that began the stream; undefined before its first event, and
   * if it isn't certain.
   */
  streamVersion: string | undefined;
  /** Id of the last event sent to the caller. */
  lastEventId: string | undefined;

  private constructor() {}

  /** Creates the progress of a request without attempts. */
  static create(): RequestProgress {
    return new RequestProgress();
  }

  /** Records that events of a stream were received. */
  recordEvents(now: number): void {
    const pauseMs = now - (this.lastEventAt ?? now);
    this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs);
    this.lastEventAt = now;
  }

  /** Whether a replica may have run the request. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }
}
