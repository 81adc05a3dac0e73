import type { ServerResponse } from "node:http";

/** Time for a caller to take what was written before the connection ends. */
const FLUSH_TIMEOUT_MS = 1000;

/**
 * Closes a caller's connection in the middle of a response, which is then visibly
 * incomplete. What was written before is still sent.
 */
export function truncateResponse(res: ServerResponse): void {
  const { socket } = res;
  if (!socket || socket.destroyed) {
    res.destroy();
    return;
  }
  const isFramed = res.chunkedEncoding || res.hasHeader("content-length");
  if (!isFramed) {
    // The end of the connection would look like the end of the response.
    socket.resetAndDestroy();
    return;
  }
  socket.setTimeout(FLUSH_TIMEOUT_MS, () => socket.destroy());
  socket.destroySoon();
}
