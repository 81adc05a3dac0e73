/** A request of an organisation with a rate limit, as a replica ran it. */
export interface LimitedRun {
  /** When its caller sent it, in ms. */
  readonly sentAt: number;
  /** When it reached the replica, in ms. */
  readonly ranAt: number;
  /** Tokens as which it counts. */
  readonly tokens: number;
}

/** Sums the tokens that were both sent and run within a span of time. */
export class TokenWindow {
  readonly #windowMs: number;
  #runs: LimitedRun[] = [];

  private constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Creates an empty window of some ms. */
  static create({ windowMs }: { windowMs: number }): TokenWindow {
    return new TokenWindow(windowMs);
  }

  /** Adds the latest run. Returns the tokens of the window that ends with it. */
  add(run: LimitedRun): number {
    const from = run.ranAt - this.#windowMs;
    this.#runs = [...this.#runs, run].filter(({ ranAt }) => ranAt > from);
    return this.#runs
      .filter(({ sentAt }) => sentAt > from)
      .reduce((sum, { tokens }) => sum + tokens, 0);
  }
}
