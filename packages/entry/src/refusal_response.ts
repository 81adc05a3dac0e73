import type { ServerResponse } from "node:http";
import { HTTP_STATUS_BY_CODE, type Refusal } from "@banyanspool/types";

const MS_PER_S = 1000;

/** Body of a refusal, in the error format of the OpenAI API. */
export interface ErrorBody {
  readonly error: {
    /** Cause, in one sentence. */
    readonly message: string;
    /** Error type of the OpenAI API. */
    readonly type: string;
    /** Refusal code. */
    readonly code: string;
    /** Whether the request ran: `no` or `unknown`. */
    readonly ran: string;
    /** Id of the refused request. */
    readonly request_id: string;
    /** Time until a retry makes sense, in ms. */
    readonly retry_after_ms?: number;
  };
}

/** Creates the body of a refusal, as a response or as an event of a stream. */
export function createErrorBody(
  refusal: Refusal,
  requestId: string,
): ErrorBody {
  const { code, message, ran, retryAfterMs } = refusal;
  const retry = retryAfterMs === undefined
    ? {}
    : { retry_after_ms: retryAfterMs };
  const type = pickType(HTTP_STATUS_BY_CODE[code]);
  return {
    error: { message, type, code, ran, request_id: requestId, ...retry },
  };
}

/** Writes a refusal as the response, unless a response has been started. */
export function writeRefusal(
  res: ServerResponse,
  refusal: Refusal,
  requestId: string,
): void {
  if (res.headersSent || res.destroyed) return;
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "x-request-id": requestId,
    "x-should-retry": refusal.ran === "unknown" ? "false" : "true",
  };
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / MS_PER_S));
    headers["retry-after"] = String(seconds);
    headers["retry-after-ms"] = String(refusal.retryAfterMs);
  } else {
    headers["x-should-retry"] = "false";
  }
  const body = JSON.stringify(createErrorBody(refusal, requestId));
  res.writeHead(HTTP_STATUS_BY_CODE[refusal.code], headers);
  res.end(body);
}

function pickType(status: number): string {
  if (status === 401) return "authentication_error";
  if (status === 403) return "permission_error";
  if (status === 429) return "rate_limit_error";
  if (status < 500) return "invalid_request_error";
  return "server_error";
}
