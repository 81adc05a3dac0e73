import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import type { Discards } from "./discards.ts";
import { sendRefusal } from "./refusals.ts";

/** Rest of a body that is discarded on a connection that stays open. */
const MAX_SHORT_REST_BYTES = 64 * 1024;

/** Where a refusal is sent. */
export interface RefusalTarget {
  /** Response to the request. */
  readonly res: ServerResponse;
  /** Connections that are closed after their last response. */
  readonly discards: Discards;
}

/**
 * Refuses a request whose body has not been read. Unless the rest is short, the
 * connection is closed, and read for a moment before that: a connection that is
 * closed with unread bytes is reset, and the refusal may be lost.
 */
export function refuseAndClose(
  req: IncomingMessage,
  refusal: Refusal,
  target: RefusalTarget,
): void {
  const length = Number(req.headers["content-length"] ?? 0);
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  const isShort = !isChunked && length <= MAX_SHORT_REST_BYTES;
  if (!req.complete && !isShort) closeAfterResponse(req, target);
  sendRefusal(target.res, refusal);
  // The connection may keep the request for as long as its rest is discarded.
  req.headers = {};
  req.rawHeaders = [];
}

/** Closes a request's connection after its response, without a reset. */
function closeAfterResponse(
  { socket }: IncomingMessage,
  { res, discards }: RefusalTarget,
): void {
  if (!res.headersSent) res.setHeader("connection", "close");
  socket.destroySoon = () => discards.end(socket);
}
