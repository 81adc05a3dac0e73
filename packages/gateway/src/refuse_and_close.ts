import type { IncomingMessage, ServerResponse } from "node:http";
import type { Refusal } from "@banyanspool/types";
import { sendRefusal } from "./refusals.ts";

/** Rest of a body that is discarded on a connection that stays open. */
const MAX_SHORT_REST_BYTES = 64 * 1024;
/** Bytes and time for which a connection is read after its last response. */
const MAX_DISCARDED_BYTES = 1024 * 1024;
const MAX_DISCARD_MS = 1000;
const DISCARD_POLL_MS = 20;

/**
 * Refuses a request whose body has not been read. Unless the rest is short, the
 * connection is closed, and read for a moment before that: a connection that is
 * closed with unread bytes is reset, and the refusal may be lost.
 */
export function refuseAndClose(
  req: IncomingMessage,
  res: ServerResponse,
  refusal: Refusal,
): void {
  const length = Number(req.headers["content-length"] ?? 0);
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  const isShort = !isChunked && length <= MAX_SHORT_REST_BYTES;
  if (!req.complete && !isShort) closeAfterResponse(req, res);
  sendRefusal(res, refusal);
}

/** Closes a request's connection after its response, without a reset. */
export function closeAfterResponse(
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const { socket } = req;
  if (!res.headersSent) res.setHeader("connection", "close");
  socket.destroySoon = () => {
    socket.end();
    const maxRead = socket.bytesRead + MAX_DISCARDED_BYTES;
    let polls = MAX_DISCARD_MS / DISCARD_POLL_MS;
    const timer = setInterval(() => {
      polls -= 1;
      if (polls > 0 && socket.bytesRead <= maxRead) return;
      socket.destroy();
    }, DISCARD_POLL_MS);
    socket.once("close", () => clearInterval(timer));
  };
}
