/** Whether a replica is promised to stay, or why not. */
export type PinAnswer = "pinned" | "notReady" | "leaving";

/**
 * Keeps a model's last replica. Before an agent unloads its replica, it marks
 * it as leaving, which makes it refuse promises, and asks another agent for
 * the promise to keep theirs. No promise has to be remembered: an agent that
 * gave one needs a promise itself before it may unload, and whoever is
 * leaving gives none, so the last one that was promised something relies on a
 * replica that stays.
 */
export class PinRegistry {
  readonly #leaving: Set<string> = new Set();

  private constructor() {}

  /** Creates a board on which nothing is leaving. */
  static create(): PinRegistry {
    return new PinRegistry();
  }

  /** Marks a model as leaving; false if it already is. */
  beginUnload(model: string): boolean {
    if (this.#leaving.has(model)) return false;
    this.#leaving.add(model);
    return true;
  }

  /** Ends an unload, whether it was carried out or given up. */
  endUnload(model: string): void {
    this.#leaving.delete(model);
  }

  /** Whether a model is about to be unloaded here. */
  isUnloading(model: string): boolean {
    return this.#leaving.has(model);
  }

  /** Answers another agent that wants to unload its replica of a model. */
  pin(model: string, isReady: boolean): PinAnswer {
    if (this.#leaving.has(model)) return "leaving";
    return isReady ? "pinned" : "notReady";
  }
}
