import type { IncomingMessage, ServerOptions } from "node:http";

/** Limits on how a request arrives. */
export interface RequestLimits {
  /** Maximum size of a head, in bytes. */
  readonly maxHeadBytes: number;
  /** Time to receive a head, in ms. */
  readonly headTimeoutMs: number;
  /** Time to receive a whole request, in ms. */
  readonly requestTimeoutMs: number;
  /** Time for which a connection may wait for its next request, in ms. */
  readonly idleTimeoutMs: number;
}

/** Interval at which a server looks for overdue requests, in ms. */
const CHECK_INTERVAL_MS = 1000;

/** Options of a server that applies the limits. */
export function requestLimitOptions(
  limits: RequestLimits,
): ServerOptions & { maxHeaderSize: number } {
  return {
    maxHeaderSize: limits.maxHeadBytes,
    headersTimeout: limits.headTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    keepAliveTimeout: limits.idleTimeoutMs,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
  };
}

/** Whether a request's head has more fields than the maximum. */
export function hasTooManyFields(
  req: Pick<IncomingMessage, "rawHeaders">,
  maxFields: number,
): boolean {
  // Names and values alternate.
  return req.rawHeaders.length > 2 * maxFields;
}
