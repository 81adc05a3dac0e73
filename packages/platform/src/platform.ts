import type { LiveInstance, Result } from "@banyanspool/types";
import type { StoreError } from "./errors.ts";

/** A row of the table service. */
export interface Row {
  /** Row key. */
  readonly key: string;
  /** Rises with each write of the row. */
  readonly version: number;
  /** JSON text. */
  readonly value: string;
}

/** Condition of a transaction: the row has this version. */
export interface RowCheck {
  /** Row key. */
  readonly key: string;
  /** Expected version; 0 if the row must not exist. */
  readonly version: number;
}

/** A write of a transaction; null deletes the row. */
export interface RowPut {
  /** Row key. */
  readonly key: string;
  /** JSON text, or null to delete. */
  readonly value: string | null;
}

/** A transaction: all writes happen if all checks hold, or none does. */
export interface CommitRequest {
  /** Conditions. */
  readonly checks: readonly RowCheck[];
  /** Writes. */
  readonly puts: readonly RowPut[];
}

/** Outcome of a transaction. */
export type CommitResult =
  | {
    readonly kind: "committed";
    /** New version of the written rows; undefined if the service sent none. */
    readonly version?: number;
  }
  | { readonly kind: "conflict"; readonly key: string };

/** The platform's transactional table service. */
export interface TableStore {
  /**
   * Number of times that the service was restored from a copy, as of its last
   * answer; 0 if it doesn't count them. What was written since the copy is lost,
   * and versions are given out again.
   */
  epoch(): number;
  /** Reads one row; undefined if it does not exist. */
  get(key: string): Promise<Result<Row | undefined, StoreError>>;
  /** Reads all rows whose key starts with the prefix, in key order. */
  scan(prefix: string): Promise<Result<readonly Row[], StoreError>>;
  /** Commits a transaction. */
  commit(request: CommitRequest): Promise<Result<CommitResult, StoreError>>;
}

/** The platform's object store. */
export interface ObjectStore {
  /** Writes an object, replacing one of the same name. */
  put(name: string, body: string): Promise<Result<void, StoreError>>;
  /** Reads an object; undefined if it does not exist. */
  get(name: string): Promise<Result<string | undefined, StoreError>>;
  /** Lists object names with the prefix, in order. */
  list(prefix: string): Promise<Result<readonly string[], StoreError>>;
}

/** The platform's list of instances, which lags behind their actual state. */
export interface InstanceList {
  /** Reads the list. */
  list(): Promise<Result<readonly LiveInstance[], StoreError>>;
}

/** The platform's services that a daemon uses. */
export interface Platform {
  /** Table service. */
  readonly table: TableStore;
  /** Object store. */
  readonly objects: ObjectStore;
  /** Instance list. */
  readonly instances: InstanceList;
}
