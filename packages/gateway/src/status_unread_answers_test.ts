import test from "ava";
import {
  checkServes,
  openCrowd,
  startGatewayProcess,
} from "./testing/gateway_process.ts";
import { startFleet } from "./testing/running_gateway.ts";

const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const REQUESTS = 3000;

test("requests sent ahead whose answers aren't read don't fill the memory", async (t) => {
  const gateway = await startGatewayProcess(t, await startFleet(t), {
    status_max_connections: 16,
  });
  const before = gateway.peakResidentBytes();
  const targets = [
    [gateway.metricsPort, "/metrics"],
    [gateway.readinessPort, "/v1/ready"],
    [gateway.readinessPort, "/none"],
  ] as const;
  for (const [port, path] of targets) {
    const bytes = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`.repeat(REQUESTS);
    await openCrowd(t, { port, connections: 40, bytes });
    await checkServes(t, gateway);
  }
  const growth = gateway.peakResidentBytes() - before;
  t.true(growth <= MAX_GROWTH_BYTES, `memory has grown by ${growth} bytes`);
});
