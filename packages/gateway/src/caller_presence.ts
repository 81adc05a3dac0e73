import { setImmediate as nextPoll } from "node:timers/promises";
import type { RequestScope } from "./request_scope.ts";

/**
 * Returns whether the caller is still connected. Pending closes are read first:
 * after a stall of the process, timers run before sockets are read, so a request
 * that waited would be sent although its caller has left meanwhile.
 */
export async function isCallerPresent(
  { req, res, signal }: Pick<RequestScope, "req" | "res" | "signal">,
): Promise<boolean> {
  await nextPoll();
  return !signal.aborted && !res.destroyed && !req.socket.destroyed &&
    !req.socket.readableEnded;
}
