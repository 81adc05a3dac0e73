import test from "ava";
import { GatewayMetrics } from "../gateway_metrics.ts";
import { startMetricsServer } from "../status_servers.ts";
import { findFreePort } from "../testing/running_gateway.ts";

test("a report that can't be made is answered with 500, and metrics are served on", async (t) => {
  const address = `127.0.0.1:${await findFreePort()}`;
  const events: string[] = [];
  const server = await startMetricsServer(address, {
    maxConnections: 4,
    metrics: GatewayMetrics.create(),
    log: {
      write: (event) => events.push(event),
      dropped: () => 0,
      flush: () => {},
    },
    clock: { now: () => 0, wall: () => 0 },
    evacuationReport: () => {
      throw new Error("no list");
    },
  });
  t.teardown(() => server.close());
  const statusOf = async (path: string) =>
    (await fetch(`http://${address}${path}`)).status;
  t.is(await statusOf("/evacuations"), 500);
  t.is(await statusOf("/metrics"), 200);
  t.deepEqual(events, ["evacuation report failed"]);
});
