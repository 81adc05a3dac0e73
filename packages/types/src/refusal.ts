/** Whether a refused request was run: certainly not, or unknown. */
export type ExecutionStatus = "no" | "unknown";

/** Reason codes of refusals, in responses to callers and in metrics. */
export type RefusalCode =
  | "bad_request"
  | "body_timeout"
  | "body_too_large"
  | "cancelled"
  | "configuration_stale"
  | "deadline_passed"
  | "draining"
  | "duplicate_in_progress"
  | "engine_failed"
  | "incarnation_changed"
  | "key_invalid"
  | "key_missing"
  | "key_withdrawn"
  | "method_not_allowed"
  | "model_forbidden"
  | "model_loading"
  | "model_not_found"
  | "no_allowed_replica"
  | "no_replica"
  | "not_ready"
  | "outcome_unknown"
  | "overloaded"
  | "prompt_quarantined"
  | "prompt_too_long"
  | "rate_exceeded"
  | "replica_limit_reached"
  | "request_quarantined"
  | "retry_budget_spent"
  | "route_not_found"
  | "store_unavailable"
  | "stream_origin_unknown"
  | "stream_version_gone"
  | "tombstoned"
  | "too_many_fields";

/** The system's own final response to a request that it can't run. */
export interface Refusal {
  /** Reason code. */
  readonly code: RefusalCode;
  /** One sentence that names the offending value. */
  readonly message: string;
  /** Whether the request was run. */
  readonly ran: ExecutionStatus;
  /** Time after which to retry, in ms; undefined if a retry can't help. */
  readonly retryAfterMs?: number;
}

/** Options of {@link refuse}. */
export interface RefuseOptions {
  /** Whether the request was run; "no" by default. */
  readonly ran?: ExecutionStatus;
  /** Time after which to retry, in ms; rounded up. */
  readonly retryAfterMs?: number;
}

/** Creates a refusal. */
export function refuse(
  code: RefusalCode,
  message: string,
  { ran = "no", retryAfterMs }: RefuseOptions = {},
): Refusal {
  if (retryAfterMs === undefined) return { code, message, ran };
  return { code, message, ran, retryAfterMs: Math.ceil(retryAfterMs) };
}

/** HTTP status that callers get with each reason code. */
export const HTTP_STATUS_BY_CODE: Readonly<Record<RefusalCode, number>> = {
  bad_request: 400,
  body_timeout: 408,
  body_too_large: 413,
  cancelled: 499,
  configuration_stale: 503,
  deadline_passed: 503,
  draining: 503,
  duplicate_in_progress: 409,
  engine_failed: 502,
  incarnation_changed: 503,
  key_invalid: 401,
  key_missing: 401,
  key_withdrawn: 401,
  method_not_allowed: 405,
  model_forbidden: 403,
  model_loading: 503,
  model_not_found: 404,
  no_allowed_replica: 503,
  no_replica: 503,
  not_ready: 503,
  outcome_unknown: 502,
  overloaded: 503,
  prompt_quarantined: 503,
  prompt_too_long: 400,
  rate_exceeded: 429,
  replica_limit_reached: 503,
  request_quarantined: 503,
  retry_budget_spent: 503,
  route_not_found: 404,
  store_unavailable: 503,
  stream_origin_unknown: 503,
  stream_version_gone: 503,
  tombstoned: 503,
  too_many_fields: 431,
};

/** Codes after which an attempt may be retried on another replica at once. */
export const RETRYABLE_CODES: ReadonlySet<RefusalCode> = new Set<RefusalCode>([
  "draining",
  "engine_failed",
  "incarnation_changed",
  "model_loading",
  "no_replica",
  "not_ready",
  "tombstoned",
]);

/** Identity of one attempt of a request. */
export interface AttemptKey {
  /** Entry instance that sent the attempt. */
  readonly entry: string;
  /** Incarnation of that entry. */
  readonly incarnation: number;
  /** Rises by one with each attempt of the incarnation. */
  readonly sequence: number;
}

/** Formats an attempt's identity as `entry/incarnation/sequence`. */
export function formatAttemptKey(key: AttemptKey): string {
  return `${key.entry}/${key.incarnation}/${key.sequence}`;
}

/**
 * Parses the format of {@link formatAttemptKey}; undefined if it doesn't match.
 */
export function parseAttemptKey(text: string): AttemptKey | undefined {
  const match = /^(.+)\/(\d+)\/(\d+)$/.exec(text);
  if (match === null) return undefined;
  const [, entry = "", incarnation, sequence] = match;
  return {
    entry,
    incarnation: Number(incarnation),
    sequence: Number(sequence),
  };
}
