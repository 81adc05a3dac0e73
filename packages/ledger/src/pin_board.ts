import type { Clock } from "@banyanspool/types";

/** Options of {@link PinBoard.create}. */
export interface PinBoardOptions {
  /** Time source. */
  readonly clock: Clock;
}

/** Whether a replica was pinned, or why not. */
export type PinAnswer = "pinned" | "notReady" | "leaving";

/**
 * Keeps a model's last replica. Before an agent unloads its replica, it marks
 * it as leaving, which makes it refuse pins, and asks another agent to pin
 * theirs. Two agents that ask each other at the same time both refuse, so
 * that neither unloads.
 */
export class PinBoard {
  readonly #clock: Clock;
  readonly #pins: Map<string, Map<string, number>> = new Map();
  readonly #leaving: Set<string> = new Set();

  private constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Creates a board without pins. */
  static create({ clock }: PinBoardOptions): PinBoard {
    return new PinBoard(clock);
  }

  /** Marks a model as leaving; false while another agent relies on it. */
  beginUnload(model: string): boolean {
    if (this.#leaving.has(model) || this.#isPinned(model)) return false;
    this.#leaving.add(model);
    return true;
  }

  /** Ends an unload, whether it was carried out or given up. */
  endUnload(model: string): void {
    this.#leaving.delete(model);
  }

  /** Whether a model is about to be unloaded here. */
  isLeaving(model: string): boolean {
    return this.#leaving.has(model);
  }

  /** Promises to keep a ready model while another agent unloads its own. */
  pin(
    model: string,
    request: { holder: string; forMs: number; ready: boolean },
  ): PinAnswer {
    if (this.#leaving.has(model)) return "leaving";
    if (!request.ready) return "notReady";
    const pins = this.#pins.get(model) ?? new Map<string, number>();
    pins.set(request.holder, this.#clock.now() + request.forMs);
    this.#pins.set(model, pins);
    return "pinned";
  }

  #isPinned(model: string): boolean {
    const now = this.#clock.now();
    const pins = this.#pins.get(model);
    if (pins === undefined) return false;
    for (const [holder, until] of pins) {
      if (until <= now) pins.delete(holder);
    }
    return pins.size > 0;
  }
}
