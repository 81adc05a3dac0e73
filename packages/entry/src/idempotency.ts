import { createHash } from "node:crypto";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";
import type { TableStore } from "@banyanspool/platform";

const MAX_KEY_LENGTH = 128;
const MAX_ANSWER_BYTES = 64 * 1024;
const RETRY_AFTER_MS = 1000;
const STORE_RETRY_AFTER_MS = 2000;

/** An answer that was kept for repetitions. */
export interface StoredResponse {
  /** HTTP status. */
  readonly status: number;
  /** Content type. */
  readonly contentType: string;
  /** Body in base64. */
  readonly body: string;
}

interface IdempotencyRow {
  readonly fingerprint: string;
  readonly owner: string;
  readonly answer?: StoredResponse;
  /** Set when the outcome will never be known. */
  readonly lost?: boolean;
}

/** A repetition's claim on its key. */
export type IdempotencyClaim =
  | {
    readonly kind: "first";
    /** Keeps the answer; resolves when the store has confirmed it. */
    readonly storeResponse: (answer: StoredResponse) => Promise<void>;
    /** Frees the key, because the request certainly has not run. */
    readonly release: () => Promise<void>;
    /** Marks that nobody can tell whether the request ran. */
    readonly markOutcomeUnknown: () => Promise<void>;
  }
  | { readonly kind: "answered"; readonly answer: StoredResponse };

/** Claims an idempotency key through the table service. */
export async function claimIdempotencyKey(
  table: TableStore,
  { organisation, key, request, owner }: {
    organisation: string;
    key: string;
    request: Uint8Array;
    owner: string;
  },
): Promise<Result<IdempotencyClaim, Refusal>> {
  if (key.length === 0 || key.length > MAX_KEY_LENGTH) {
    const message =
      `The Idempotency-Key must have 1 to ${MAX_KEY_LENGTH} characters`;
    return err(refuse("bad_request", message));
  }
  const hash = createHash("sha256").update(key).digest("hex");
  const rowKey = `idempotency/${organisation}/${hash}`;
  const fingerprint = createHash("sha256").update(request).digest("hex");
  const read = await table.get(rowKey);
  if (!read.ok) return err(storeUnavailable());
  if (read.value) {
    const row = JSON.parse(read.value.value) as IdempotencyRow;
    return judgeRow(row, { key, fingerprint });
  }
  const row: IdempotencyRow = { fingerprint, owner };
  const res = await table.commit({
    checks: [{ key: rowKey, version: 0 }],
    puts: [{ key: rowKey, value: JSON.stringify(row) }],
  });
  if (!res.ok) return err(storeUnavailable());
  if (res.value.kind === "conflict") return err(inProgress(key));
  return ok(createFirstClaim(table, rowKey, row));
}

function createFirstClaim(
  table: TableStore,
  rowKey: string,
  row: IdempotencyRow,
): IdempotencyClaim {
  const put = async (value: IdempotencyRow | null) => {
    await table.commit({
      checks: [{ key: rowKey, version: 1 }],
      puts: [{ key: rowKey, value: value && JSON.stringify(value) }],
    });
  };
  return {
    kind: "first",
    storeResponse: (answer) => {
      const fits = answer.body.length <= MAX_ANSWER_BYTES;
      return put(fits ? { ...row, answer } : { ...row, lost: true });
    },
    release: () => put(null),
    markOutcomeUnknown: () => put({ ...row, lost: true }),
  };
}

function judgeRow(
  row: IdempotencyRow,
  { key, fingerprint }: { key: string; fingerprint: string },
): Result<IdempotencyClaim, Refusal> {
  if (row.fingerprint !== fingerprint) {
    const message = `Idempotency-Key "${key}" came with another request`;
    return err(refuse("bad_request", message));
  }
  if (row.answer) return ok({ kind: "answered", answer: row.answer });
  if (!row.lost) return err(inProgress(key));
  const message = `The outcome of Idempotency-Key "${key}" is not known`;
  return err(refuse("outcome_unknown", message, { ran: "unknown" }));
}

function inProgress(key: string): Refusal {
  const message = `A request with Idempotency-Key "${key}" has begun`;
  return refuse("duplicate_in_progress", message, {
    ran: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function storeUnavailable(): Refusal {
  const message = "The Idempotency-Key can't be recorded now";
  return refuse("store_unavailable", message, {
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });
}
