/** A successful result. */
export interface Ok<T> {
  /** Always true. */
  readonly ok: true;
  /** Value of the operation. */
  readonly value: T;
}

/** A failed result with its tagged error. */
export interface Err<E> {
  /** Always false. */
  readonly ok: false;
  /** Cause of the failure. */
  readonly error: E;
}

/** Outcome of an operation that can fail: a value or a tagged error. */
export type Result<T, E> = Ok<T> | Err<E>;

/** Wraps a value as a successful result. */
export function ok<T>(value: T): Ok<T> {
  return { ok: true, value };
}

/** Wraps an error as a failed result. */
export function err<E>(error: E): Err<E> {
  return { ok: false, error };
}
