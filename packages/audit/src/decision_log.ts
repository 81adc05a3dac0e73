import type { Clock, Sleep } from "@banyanspool/types";
import type { ObjectStore } from "@banyanspool/platform";
import { type Batch, type Decision, hashBatch } from "./records.ts";

/** Options of {@link DecisionLog.create}. */
export interface DecisionLogOptions {
  /** Object store for the batches. */
  readonly objects: ObjectStore;
  /** Time source. */
  readonly clock: Clock;
  /** Waits between batches. */
  readonly sleep: Sleep;
  /** Instance that decides. */
  readonly instance: string;
  /** Its incarnation. */
  readonly incarnation: number;
  /** Time between batches, in ms. */
  readonly flushIntervalMs: number;
  /** Records kept in memory while the store is down. */
  readonly maxPending: number;
  /** Counts records that were written or dropped. */
  readonly count: (outcome: "written" | "dropped", records: number) => void;
}

/** Collects decisions and writes them in hash-chained batches. */
export class DecisionLog {
  readonly #options: DecisionLogOptions;
  #pending: Decision[] = [];
  #dropped = 0;
  #nextRecord = 1;
  #nextBatch = 1;
  #previous = "";
  /** A batch whose answer was lost; it is written again unchanged. */
  #unconfirmed: { name: string; body: string; batch: Batch } | undefined;

  private constructor(options: DecisionLogOptions) {
    this.#options = options;
  }

  /** Creates an empty log. */
  static create(options: DecisionLogOptions): DecisionLog {
    return new DecisionLog(options);
  }

  /** Records that wait to be written. */
  get pending(): number {
    return this.#pending.length;
  }

  /** Adds a record; the oldest give way when memory is full. */
  record(decision: Omit<Decision, "id" | "at">): void {
    const { instance, incarnation, clock, maxPending } = this.#options;
    const id = `${instance}/${incarnation}/${this.#nextRecord}`;
    this.#nextRecord += 1;
    this.#pending.push({ id, at: clock.wall(), ...decision });
    if (this.#pending.length <= maxPending) return;
    this.#pending.shift();
    this.#dropped += 1;
    this.#options.count("dropped", 1);
  }

  /** Writes batches until the signal is aborted, then writes the rest. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      try {
        await this.#options.sleep(this.#options.flushIntervalMs, signal);
      } catch {
        break;
      }
      await this.flush();
    }
    await this.flush();
  }

  /** Writes what is pending. Returns false if the store did not confirm it. */
  async flush(): Promise<boolean> {
    const batch = this.#unconfirmed ?? this.#assemble();
    if (batch === undefined) return true;
    this.#unconfirmed = batch;
    const res = await this.#options.objects.put(batch.name, batch.body);
    if (!res.ok) return false;
    this.#unconfirmed = undefined;
    this.#previous = hashBatch(batch.body);
    this.#options.count("written", batch.batch.decisions.length);
    return this.#pending.length === 0 ? true : await this.flush();
  }

  #assemble(): { name: string; body: string; batch: Batch } | undefined {
    if (this.#pending.length === 0 && this.#dropped === 0) return undefined;
    const { instance, incarnation } = this.#options;
    const batch: Batch = {
      instance,
      incarnation,
      number: this.#nextBatch,
      previous: this.#previous,
      dropped: this.#dropped,
      decisions: this.#pending,
    };
    this.#nextBatch += 1;
    this.#pending = [];
    this.#dropped = 0;
    const number = String(batch.number).padStart(8, "0");
    const name = `decisions/${instance}/${incarnation}/${number}.json`;
    return { name, body: JSON.stringify(batch), batch };
  }
}
