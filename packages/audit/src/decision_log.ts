import type { Clock, Sleep } from "@banyanspool/types";
import type { ObjectStore } from "@banyanspool/platform";
import { type Batch, type Decision, hashBatch } from "./records.ts";

/** Options of {@link DecisionLog.create}. */
export interface DecisionLogOptions {
  /** Object store for the batches. */
  readonly objects: ObjectStore;
  /** Time source. */
  readonly clock: Clock;
  /** Delays the next batch by a time in ms. */
  readonly sleep: Sleep;
  /** Instance whose decisions are recorded. */
  readonly instance: string;
  /** Incarnation of the instance. */
  readonly incarnation: number;
  /** Time between two writes, in ms. */
  readonly flushIntervalMs: number;
  /** Most records kept in memory, such as during a store outage. */
  readonly maxPending: number;
  /** Counts written and dropped records for the metrics. */
  readonly count: (outcome: "written" | "dropped", records: number) => void;
}

/** Buffers decisions and writes them to the store in hash-chained batches. */
export class DecisionLog {
  readonly #options: DecisionLogOptions;
  #pending: Decision[] = [];
  #dropped = 0;
  #nextRecordNumber = 1;
  #nextBatchNumber = 1;
  #previousHash = "";
  /** Batch that may have been stored already; it is written again unchanged. */
  #unconfirmed: { name: string; body: string; batch: Batch } | undefined;

  private constructor(options: DecisionLogOptions) {
    this.#options = options;
  }

  /** Creates an empty log. */
  static create(options: DecisionLogOptions): DecisionLog {
    return new DecisionLog(options);
  }

  /** Number of records that no batch contains yet. */
  get pending(): number {
    return this.#pending.length;
  }

  /** Adds a record. Beyond `maxPending` records, the oldest is dropped. */
  record(decision: Omit<Decision, "id" | "at">): void {
    const { instance, incarnation, clock, maxPending } = this.#options;
    const id = `${instance}/${incarnation}/${this.#nextRecordNumber}`;
    this.#nextRecordNumber += 1;
    this.#pending.push({ id, at: clock.wall(), ...decision });
    if (this.#pending.length <= maxPending) return;
    this.#pending.shift();
    this.#dropped += 1;
    this.#options.count("dropped", 1);
  }

  /** Writes batches until the signal is aborted, then flushes once more. */
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

  /** Writes all pending records; false if the store did not confirm a batch. */
  async flush(): Promise<boolean> {
    const batch = this.#unconfirmed ?? this.#assembleBatch();
    if (batch === undefined) return true;
    this.#unconfirmed = batch;
    const res = await this.#options.objects.put(batch.name, batch.body);
    if (!res.ok) return false;
    this.#unconfirmed = undefined;
    this.#previousHash = hashBatch(batch.body);
    this.#options.count("written", batch.batch.decisions.length);
    return this.#pending.length === 0 ? true : await this.flush();
  }

  #assembleBatch(): { name: string; body: string; batch: Batch } | undefined {
    if (this.#pending.length === 0 && this.#dropped === 0) return undefined;
    const { instance, incarnation } = this.#options;
    const batch: Batch = {
      instance,
      incarnation,
      number: this.#nextBatchNumber,
      previous: this.#previousHash,
      dropped: this.#dropped,
      decisions: this.#pending,
    };
    this.#nextBatchNumber += 1;
    this.#pending = [];
    this.#dropped = 0;
    const number = String(batch.number).padStart(8, "0");
    const name = `decisions/${instance}/${incarnation}/${number}.json`;
    return { name, body: JSON.stringify(batch), batch };
  }
}
