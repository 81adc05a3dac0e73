import type { ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import { HTTP_STATUS_BY_CODE } from "@banyanspool/types";
import { truncateResponse } from "./truncate_response.ts";

const MS_PER_S = 1000;
/** Jitter as a share of the delay, so that callers don't all retry at once. */
const JITTER_SHARE = 0.25;

/** Adds up to a quarter of random jitter to a retry delay, in ms. */
export function jitterRetryAfter(ms: number, random: () => number): number {
  return Math.ceil(ms * (1 + JITTER_SHARE * random()));
}

/** Sends a refusal; closes the connection if a response has already begun. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent || res.destroyed) {
    truncateResponse(res);
    return;
  }
  const { code, message, ran, retryAfterMs } = refusal;
  const body = JSON.stringify({
    error: { code, message, ran, retry_after_ms: retryAfterMs },
  });
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(body)),
  };
  if (retryAfterMs !== undefined) {
    headers["retry-after"] = (retryAfterMs / MS_PER_S).toFixed(3);
  }
  res.writeHead(statusOf(refusal), headers);
  res.end(body);
}

/** Returns a status that means "not run" only if no replica ran the request. */
function statusOf({ code, ran }: Refusal): number {
  const status = HTTP_STATUS_BY_CODE[code];
  if (ran === "no") return status;
  return code === "deadline_passed" ? 504 : 502;
}
