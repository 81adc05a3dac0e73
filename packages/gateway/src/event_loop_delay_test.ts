import test from "ava";
import {
  findFreePort,
  sendTo,
  startFleet,
  startGateway,
  waitFor,
} from "./testing/running_gateway.ts";

const BLOCKED_MS = 600;
/** Offset of the metrics port. */
const METRICS = 3;
const LONG_DELAYS = /event_loop_delay_seconds_bucket\{le="0.25"\} (\d+)/;
const ALL_DELAYS = /event_loop_delay_seconds_count (\d+)/;

// A gateway that answered nobody for seconds showed nothing of it.
test("a blocked event loop is seen in the metrics", async (t) => {
  const fleet = await startFleet(t);
  const port = await findFreePort();
  await startGateway(t, fleet, { port });
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until);
  await waitFor(async () => {
    const { body } = await sendTo("127.0.0.1", port + METRICS, "/metrics");
    const [short, all] = [LONG_DELAYS, ALL_DELAYS].map((pattern) =>
      Number(pattern.exec(body)?.[1])
    );
    return all! > short!;
  });
  t.pass();
});
