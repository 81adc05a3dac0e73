import type { EventLog } from "@banyanspool/logger";
import type { StoreError } from "@banyanspool/platform";

/** Logs when reads of a table begin to fail, and when they succeed again. */
export class StoreHealth {
  readonly #log: EventLog;
  readonly #table: string;
  #isLost = false;

  private constructor(log: EventLog, table: string) {
    this.#log = log;
    this.#table = table;
  }

  /** Creates the record of a table whose reads haven't failed yet. */
  static create(log: EventLog, table: string): StoreHealth {
    return new StoreHealth(log, table);
  }

  /** Records a failed read. */
  recordFailure(error: StoreError): void {
    if (!this.#isLost) {
      this.#log.write("store lost", { table: this.#table, ...error });
    }
    this.#isLost = true;
  }

  /** Records a successful read. */
  recordSuccess(): void {
    if (this.#isLost) this.#log.write("store regained", { table: this.#table });
    this.#isLost = false;
  }
}
