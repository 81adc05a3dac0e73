import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { startFleet, startGateway } from "./testing/running_gateway.ts";

const CALLERS = 8;
/** Time after a stop's begin at which the callers connect, in ms. */
const CONNECT_AFTER_MS = 1900;
/** Time after a stop's begin at which no further connections are expected. */
const STALL_UNTIL_MS = 2800;

// Connections that had not been accepted were reset when the server stopped
// listening.
test("connections that wait while a stopping process stalls are accepted and answered", async (t) => {
  const fleet = await startFleet(t);
  await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: (_req, res) => void res.end("ok"),
  });
  const { gateway, send } = await startGateway(t, fleet);
  const startedAt = performance.now();
  const stopped = gateway.stop();
  await delay(CONNECT_AFTER_MS);
  const responses = Array.from(
    { length: CALLERS },
    () => send("/look/").then(({ status }) => status, String),
  );
  // The stop goes on in the timers that are due, before connections are accepted.
  while (performance.now() < startedAt + STALL_UNTIL_MS);
  t.deepEqual(await Promise.all(responses), Array(CALLERS).fill(200));
  await stopped;
});
