/**
 * Result of a pin request: `pinned` if the replica keeps the model, else why it
 * can't guarantee that.
 */
export type PinAnswer = "pinned" | "notReady" | "leaving";

/**
 * Keeps a model's last replica from being unloaded. An agent that is about to
 * unload a model marks it as unloading, from which on it refuses pin requests
 * for the model, and then requests a pin from another agent. Pins need not be
 * stored: an agent that granted one needs a pin itself before it may unload,
 * and an agent that is unloading grants none, so the replica of the last pin
 * granted stays.
 */
export class PinRegistry {
  readonly #unloading: Set<string> = new Set();

  private constructor() {}

  /** Creates a registry without unloads in progress. */
  static create(): PinRegistry {
    return new PinRegistry();
  }

  /** Marks a model as unloading; false if it already is. */
  beginUnload(model: string): boolean {
    if (this.#unloading.has(model)) return false;
    this.#unloading.add(model);
    return true;
  }

  /** Ends an unload, whether it was carried out or cancelled. */
  endUnload(model: string): void {
    this.#unloading.delete(model);
  }

  /** Whether this agent is about to unload a model. */
  isUnloading(model: string): boolean {
    return this.#unloading.has(model);
  }

  /** Handles the pin request of an agent that is about to unload a model. */
  pin(model: string, isReady: boolean): PinAnswer {
    if (this.#unloading.has(model)) return "leaving";
    return isReady ? "pinned" : "notReady";
  }
}
