import test from "ava";
import {
  checkServes,
  openCrowd,
  startGatewayProcess,
} from "./testing/gateway_process.ts";
import { startFleet } from "./testing/running_gateway.ts";

const MAX_CONNECTIONS = 16;
/** Connections of the callers' port, the store and the checks themselves. */
const OTHER_DESCRIPTORS = 24;

test("connections that stay open on the status ports don't use up the descriptors", async (t) => {
  const gateway = await startGatewayProcess(t, await startFleet(t), {
    status_max_connections: MAX_CONNECTIONS,
  });
  const before = gateway.descriptors();
  const heads = ["", "GET /v1/ready HTTP/1.1\r\nHost: a\r\n"];
  for (const port of [gateway.readinessPort, gateway.metricsPort]) {
    for (const bytes of heads) {
      await openCrowd(t, { port, connections: 150, bytes });
      await checkServes(t, gateway);
    }
  }
  const bound = before + 2 * MAX_CONNECTIONS + OTHER_DESCRIPTORS;
  const used = gateway.descriptors();
  t.true(used <= bound, `${used} descriptors, at most ${bound} allowed`);
});
