import { type AttemptKey, formatAttemptKey } from "@banyanspool/types";

/** Recorded state of an attempt. */
export type AttemptState = "begun" | "finished" | "refused";

/**
 * Result of a claim: "run" if the attempt may run now, else why it may not.
 * "forgotten" means that its record was dropped, so it can't be determined
 * whether it ran.
 */
export type ClaimResult = "run" | "duplicate" | "refused" | "forgotten";

/** Options of {@link AttemptRegistry.create}. */
export interface AttemptRegistryOptions {
  /** Records kept for each entry incarnation before the oldest are dropped. */
  readonly maxRecords: number;
}

interface EntryRecords {
  /** Attempts without a record up to this sequence number are not run. */
  watermark: number;
  readonly states: Map<number, AttemptState>;
}

/**
 * Records which attempts have begun, so that each runs at most once and the
 * result "not run" stays true: an attempt whose state was queried before it
 * arrived is refused when it arrives late. Old records are replaced by a
 * watermark, and no attempt at or below the watermark runs any more.
 */
export class AttemptRegistry {
  readonly #options: AttemptRegistryOptions;
  readonly #entries: Map<string, EntryRecords> = new Map();

  private constructor(options: AttemptRegistryOptions) {
    this.#options = options;
  }

  /** Creates an empty registry. */
  static create(options: AttemptRegistryOptions): AttemptRegistry {
    return new AttemptRegistry(options);
  }

  /** Claims the right to run an attempt. */
  claim(key: AttemptKey): ClaimResult {
    const records = this.#recordsOf(key);
    const state = records.states.get(key.sequence);
    if (state === "refused") return "refused";
    if (state !== undefined) return "duplicate";
    if (key.sequence <= records.watermark) return "forgotten";
    this.#set(records, key.sequence, "begun");
    return "run";
  }

  /** Marks a claimed attempt as refused. Call if it certainly did not run. */
  refuse(key: AttemptKey): void {
    this.#set(this.#recordsOf(key), key.sequence, "refused");
  }

  /** Marks an attempt as finished. */
  finish(key: AttemptKey): void {
    this.#set(this.#recordsOf(key), key.sequence, "finished");
  }

  /**
   * Returns the state of an attempt. If the attempt has not been claimed, it
   * is marked as refused, so it can't run later. Returns undefined if the
   * record was dropped.
   */
  refuseUnlessClaimed(key: AttemptKey): AttemptState | undefined {
    const records = this.#recordsOf(key);
    const state = records.states.get(key.sequence);
    if (state !== undefined) return state;
    if (key.sequence <= records.watermark) return undefined;
    this.#set(records, key.sequence, "refused");
    return "refused";
  }

  /** Number of records. */
  get size(): number {
    let size = 0;
    for (const records of this.#entries.values()) size += records.states.size;
    return size;
  }

  #recordsOf({ entry, incarnation }: AttemptKey): EntryRecords {
    const entryKey = formatAttemptKey({ entry, incarnation, sequence: 0 });
    const known = this.#entries.get(entryKey);
    if (known) return known;
    const records = { watermark: 0, states: new Map() };
    this.#entries.set(entryKey, records);
    return records;
  }

  #set(records: EntryRecords, sequence: number, state: AttemptState): void {
    records.states.set(sequence, state);
    while (records.states.size > this.#options.maxRecords) {
      const oldest = this.#findOldestEnded(records);
      if (oldest === undefined) return;
      records.states.delete(oldest);
      records.watermark = Math.max(records.watermark, oldest);
    }
  }

  #findOldestEnded(records: EntryRecords): number | undefined {
    for (const [sequence, state] of records.states) {
      if (state !== "begun") return sequence;
    }
    return undefined;
  }
}
