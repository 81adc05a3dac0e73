import { err, type LiveInstance, ok, type Result } from "@banyanspool/types";
import type { StoreError } from "./errors.ts";
import type {
  CommitRequest,
  CommitResult,
  InstanceList,
  ObjectStore,
  Platform,
  Row,
  TableStore,
} from "./platform.ts";

/**
 * Fault injected into a {@link MemoryPlatform}: none, every call fails, or the
 * response to a write is lost after the write took effect.
 */
export type PlatformFault = "none" | "down" | "loseAnswers";

/** A copy of the table's rows, to restore it from. */
export type TableCopy = ReadonlyMap<string, Row>;

/** In-memory platform services, for tests and stand-ins. */
export class MemoryPlatform implements Platform {
  /** Table service. */
  readonly table: TableStore;
  /** Object store. */
  readonly objects: ObjectStore;
  /** Instance list. */
  readonly instances: InstanceList;
  /** Fault that applies to all calls from now on. */
  fault: PlatformFault = "none";
  /** Instances that the instance list returns. */
  listedInstances: readonly LiveInstance[] = [];
  /** Number of calls so far. */
  readonly calls: { reads: number; writes: number } = { reads: 0, writes: 0 };
  readonly #rows: Map<string, Row> = new Map();
  #epoch = 0;
  readonly #objects: Map<string, string> = new Map();

  private constructor() {
    this.table = {
      epoch: () => this.#epoch,
      get: (key) => this.#read(() => this.#rows.get(key)),
      scan: (prefix) => this.#read(() => this.#scan(prefix)),
      commit: (request) => this.#write(() => this.#commit(request)),
    };
    this.objects = {
      put: (name, body) =>
        this.#write(() => {
          this.#objects.set(name, body);
        }),
      get: (name) => this.#read(() => this.#objects.get(name)),
      list: (prefix) =>
        this.#read(() =>
          [...this.#objects.keys()].filter((n) => n.startsWith(prefix)).sort()
        ),
    };
    this.instances = { list: () => this.#read(() => this.listedInstances) };
  }

  /** Creates empty services. */
  static create(): MemoryPlatform {
    return new MemoryPlatform();
  }

  /** Copies the table. */
  copyTable(): TableCopy {
    return new Map(this.#rows);
  }

  /** Restores the table from a copy; what was written since is lost. */
  restoreTable(copy: TableCopy): void {
    this.#epoch += 1;
    this.#rows.clear();
    for (const [key, row] of copy) this.#rows.set(key, row);
  }

  #read<T>(read: () => T): Promise<Result<T, StoreError>> {
    this.calls.reads += 1;
    if (this.fault === "down") return Promise.resolve(STORE_DOWN);
    return Promise.resolve(ok(read()));
  }

  #write<T>(write: () => T): Promise<Result<T, StoreError>> {
    this.calls.writes += 1;
    if (this.fault === "down") return Promise.resolve(STORE_DOWN);
    const value = write();
    if (this.fault === "loseAnswers") return Promise.resolve(RESPONSE_LOST);
    return Promise.resolve(ok(value));
  }

  #scan(prefix: string): readonly Row[] {
    return [...this.#rows.values()]
      .filter((row) => row.key.startsWith(prefix))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  #commit({ checks, puts }: CommitRequest): CommitResult {
    for (const { key, version } of checks) {
      const current = this.#rows.get(key)?.version ?? 0;
      if (current !== version) return { kind: "conflict", key };
    }
    for (const { key, value } of puts) {
      if (value === null) {
        this.#rows.delete(key);
        continue;
      }
      const version = (this.#rows.get(key)?.version ?? 0) + 1;
      this.#rows.set(key, { key, version, value });
    }
    return { kind: "committed" };
  }
}

const STORE_DOWN: Result<never, StoreError> = err({
  kind: "unavailable",
  detail: "the store is down",
});
const RESPONSE_LOST: Result<never, StoreError> = err({
  kind: "answerLost",
  detail: "the connection closed before the response",
});
