/** What has become of a request so far. */
export class RequestProgress {
  /** Replicas that it was sent to, in order. */
  readonly replicas: string[] = [];
  /** Replicas that must not be tried again. */
  readonly excluded: Set<string> = new Set();
  /** Sends that a replica may have run. */
  possibleRuns = 0;
  /** Sends that surely no replica has run. */
  rejections = 0;
  /** Whether the next attempt has been taken from the retry budget. */
  hasReservedRetry = false;
  /** Time spent waiting for a replica, in ms. */
  waitedMs = 0;
  /** Time to the first byte of the answer, in ms. */
  firstByteMs: number | undefined;
  /** Id of the last event that the caller has. */
  lastEventId: string | undefined;

  private constructor() {}

  /** Creates the progress of a request that was not sent yet. */
  static create(): RequestProgress {
    return new RequestProgress();
  }

  /** Whether a replica may have run it. */
  get mayHaveRun(): boolean {
    return this.possibleRuns > 0;
  }
}
