import type { EventLog } from "@banyanspool/logger";
import type { StoreError } from "@banyanspool/platform";

/** Logs once when reads of a table begin to fail, and once when they work. */
export class StoreHealth {
  readonly #log: EventLog;
  readonly #table: string;
  #isLost = false;

  private constructor(log: EventLog, table: string) {
    this.#log = log;
    this.#table = table;
  }

  /** Creates the health of a table that has not failed yet. */
  static create(log: EventLog, table: string): StoreHealth {
    return new StoreHealth(log, table);
  }

  /** Notes a failed read. */
  recordFailure(error: StoreError): void {
    if (!this.#isLost) {
      this.#log.write("store lost", { table: this.#table, ...error });
    }
    this.#isLost = true;
  }

  /** Notes a read that worked. */
  recordSuccess(): void {
    if (this.#isLost) this.#log.write("store regained", { table: this.#table });
    this.#isLost = false;
  }
}
