import type { ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import { HTTP_STATUS_BY_CODE } from "@banyanspool/types";

const MS_PER_S = 1000;
/** Share of a delay by which callers are spread, so that they don't return together. */
const SPREAD = 0.25;

/** Spreads the time to come back over a quarter more. */
export function jitterRetryAfter(ms: number, random: () => number): number {
  return Math.ceil(ms * (1 + SPREAD * random()));
}

/** Answers a request that gets no result from a replica. */
export function sendRefusal(res: ServerResponse, refusal: Refusal): void {
  if (res.headersSent || res.destroyed) {
    res.destroy();
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

/** A status that promises "not run" is used only where that is known. */
function statusOf({ code, ran }: Refusal): number {
  const status = HTTP_STATUS_BY_CODE[code];
  if (ran === "no") return status;
  return code === "deadline_passed" ? 504 : 502;
}
