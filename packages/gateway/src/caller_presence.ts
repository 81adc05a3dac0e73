import { setImmediate as nextPoll } from "node:timers/promises";
import type { RequestScope } from "./request_scope.ts";

/**
 * Returns whether the caller is still connected. Pending closes are read first:
 * after a stall of the process, timers run before sockets are read, and a request
 * is read in one poll and the close behind it in the next. So a request that
 * waited would be sent although its caller has left meanwhile.
 */
export async function isCallerPresent(
  { req, res, signal }: Pick<RequestScope, "req" | "res" | "signal">,
): Promise<boolean> {
  await nextPoll();
  await nextPoll();
  return !signal.aborted && !res.destroyed && !req.socket.destroyed &&
    !req.socket.readableEnded;
}
