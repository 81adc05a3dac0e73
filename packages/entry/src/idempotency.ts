import { createHash } from "node:crypto";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";
import type { TableStore } from "@banyanspool/platform";

const MAX_KEY_LENGTH = 128;
/** Maximum size of a stored body, in base64 characters. */
const MAX_STORED_BODY_LENGTH = 64 * 1024;
const RETRY_AFTER_MS = 1000;
const STORE_RETRY_AFTER_MS = 2000;

/** Response stored under an idempotency key, replayed to repeated requests. */
export interface StoredResponse {
  readonly status: number;
  readonly contentType: string;
  /** Body in base64. */
  readonly body: string;
}

interface IdempotencyRow {
  readonly fingerprint: string;
  readonly owner: string;
  readonly answer?: StoredResponse;
  /** Whether the outcome can never be determined. */
  readonly lost?: boolean;
}

/** Result of claiming an idempotency key: first use or a stored response. */
export type IdempotencyClaim =
  | {
    readonly kind: "first";
    /**
     * Stores the response, or that the outcome is unknown if the response is
     * too large to store. Resolves once the write has ended.
     */
    readonly storeResponse: (response: StoredResponse) => Promise<void>;
    /** Releases the key, for a request that certainly has not run. */
    readonly release: () => Promise<void>;
    /** Records that it is unknown whether the request ran. */
    readonly markOutcomeUnknown: () => Promise<void>;
  }
  | { readonly kind: "answered"; readonly response: StoredResponse };

/**
 * Claims an idempotency key in the table store. Refuses a malformed key, a key
 * used for a different request, and a request that is in progress or whose
 * outcome is unknown.
 */
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
  if (!read.ok) return err(createStoreUnavailableRefusal());
  if (read.value) {
    const row = JSON.parse(read.value.value) as IdempotencyRow;
    return claimExistingRow(row, { key, fingerprint });
  }
  const row: IdempotencyRow = { fingerprint, owner };
  const res = await table.commit({
    checks: [{ key: rowKey, version: 0 }],
    puts: [{ key: rowKey, value: JSON.stringify(row) }],
  });
  if (!res.ok) return err(createStoreUnavailableRefusal());
  if (res.value.kind === "conflict") return err(createInProgressRefusal(key));
  return ok(createFirstClaim(table, rowKey, row));
}

function createFirstClaim(
  table: TableStore,
  rowKey: string,
  row: IdempotencyRow,
): IdempotencyClaim {
  const updateRow = async (value: IdempotencyRow | null) => {
    await table.commit({
      checks: [{ key: rowKey, version: 1 }],
      puts: [{ key: rowKey, value: value && JSON.stringify(value) }],
    });
  };
  return {
    kind: "first",
    storeResponse: (response) => {
      const fits = response.body.length <= MAX_STORED_BODY_LENGTH;
      return updateRow(
        fits ? { ...row, answer: response } : { ...row, lost: true },
      );
    },
    release: () => updateRow(null),
    markOutcomeUnknown: () => updateRow({ ...row, lost: true }),
  };
}

function claimExistingRow(
  row: IdempotencyRow,
  { key, fingerprint }: { key: string; fingerprint: string },
): Result<IdempotencyClaim, Refusal> {
  if (row.fingerprint !== fingerprint) {
    const message =
      `Idempotency-Key "${key}" was used with a different request`;
    return err(refuse("bad_request", message));
  }
  if (row.answer) return ok({ kind: "answered", response: row.answer });
  if (!row.lost) return err(createInProgressRefusal(key));
  const message =
    `The outcome of the request with Idempotency-Key "${key}" is unknown`;
  return err(refuse("outcome_unknown", message, { ran: "unknown" }));
}

function createInProgressRefusal(key: string): Refusal {
  const message = `A request with Idempotency-Key "${key}" is in progress`;
  return refuse("duplicate_in_progress", message, {
    ran: "unknown",
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function createStoreUnavailableRefusal(): Refusal {
  const message =
    "The store is unavailable, so the Idempotency-Key can't be recorded";
  return refuse("store_unavailable", message, {
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });
}
