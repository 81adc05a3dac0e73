import { type AttemptKey, formatAttemptKey } from "@banyanspool/types";

/** What is known of an attempt. */
export type AttemptState = "begun" | "finished" | "refused";

/**
 * Answer to a new attempt: it may run now, or the reason why not. "forgotten"
 * says that its record was dropped, so that nobody can tell whether it ran.
 */
export type ClaimResult = "run" | "duplicate" | "refused" | "forgotten";

/** Options of {@link AttemptRegistry.create}. */
export interface AttemptRegistryOptions {
  /** Records kept for each entry before the oldest are closed. */
  readonly maxRecords: number;
}

interface EntryRecords {
  /** Attempts up to this sequence that have no record never run again. */
  closedUpTo: number;
  readonly states: Map<number, AttemptState>;
}

/**
 * Remembers which attempts have begun, so that each runs at most once and an
 * answer "not run" stays true: an attempt that was asked about first is
 * refused when it arrives late. Old records are replaced by a watermark
 * below which nothing runs any more.
 */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  readonly #entries: Map<string, EntryRecords> = new Map();

  private constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  /** Creates an empty log. */
  static create(options: AttemptRegistryOptions): AttemptRegistry {
    return new AttemptRegistry(options);
  }

  /** Claims the right to run an attempt. */
  claim(key: AttemptKey): ClaimResult {
    const records = this.#recordsOf(key);
    const state = records.states.get(key.sequence);
    if (state === "refused") return "refused";
    if (state !== undefined) return "duplicate";
    if (key.sequence <= records.closedUpTo) return "forgotten";
    this.#set(records, key.sequence, "begun");
    return "run";
  }

  /** Marks an attempt that was claimed but certainly has not run. */
  refuse(key: AttemptKey): void {
    this.#set(this.#recordsOf(key), key.sequence, "refused");
  }

  /** Marks an attempt as finished. */
  finish(key: AttemptKey): void {
    this.#set(this.#recordsOf(key), key.sequence, "finished");
  }

  /**
   * Says what became of an attempt. One that has not begun is refused from
   * now on. Returns undefined where the record was dropped.
   */
  refuseUnlessClaimed(key: AttemptKey): AttemptState | undefined {
    const records = this.#recordsOf(key);
    const state = records.states.get(key.sequence);
    if (state !== undefined) return state;
    if (key.sequence <= records.closedUpTo) return undefined;
    this.#set(records, key.sequence, "refused");
    return "refused";
  }

  /** Number of records, for tests and metrics. */
  get size(): number {
    let size = 0;
    for (const records of this.#entries.values()) size += records.states.size;
    return size;
  }

  #recordsOf({ entry, incarnation }: AttemptKey): EntryRecords {
    const name = formatAttemptKey({ entry, incarnation, sequence: 0 });
    const known = this.#entries.get(name);
    if (known) return known;
    const records = { closedUpTo: 0, states: new Map() };
    this.#entries.set(name, records);
    return records;
  }

  #set(records: EntryRecords, sequence: number, state: AttemptState): void {
    records.states.set(sequence, state);
    while (records.states.size > this.#options.maxRecords) {
      const oldest = this.#findOldestClosed(records);
      if (oldest === undefined) return;
      records.states.delete(oldest);
      records.closedUpTo = Math.max(records.closedUpTo, oldest);
    }
  }

  #findOldestClosed(records: EntryRecords): number | undefined {
    for (const [sequence, state] of records.states) {
      if (state !== "begun") return sequence;
    }
    return undefined;
  }
}
