import test from "ava";
import {
  checkServes,
  openCrowd,
  startGatewayProcess,
} from "./testing/gateway_process.ts";
import { startFleet } from "./testing/running_gateway.ts";

const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const MAX_CONNECTIONS = 16;
const OTHER_DESCRIPTORS = 24;
const BODY_BYTES = 1024 * 1024;

const FIELDS = Array.from({ length: 1500 }, (_, i) => `x${i}: 1\r\n`).join("");
const CHUNK = `10\r\n${"x".repeat(16)}\r\n`;
const HEAD = "POST /v1/ready HTTP/1.1\r\nHost: a\r\n";
const CROWDS = {
  "bodies in one piece that stop short of their end": `${HEAD}Content-Length: ${
    BODY_BYTES + 1
  }\r\n\r\n${"x".repeat(BODY_BYTES)}`,
  "bodies in chunks without an end":
    `${HEAD}Transfer-Encoding: chunked\r\n\r\n${CHUNK.repeat(20_000)}`,
  "heads of many fields": `GET /v1/ready HTTP/1.1\r\nHost: a\r\n${FIELDS}\r\n`,
};

for (const [name, bytes] of Object.entries(CROWDS)) {
  // The memory stays under the bound without limits too, as bodies are dropped;
  // the connections that stay open don't.
  test.serial(`the status ports bear ${name}`, async (t) => {
    const gateway = await startGatewayProcess(t, await startFleet(t), {
      status_max_connections: MAX_CONNECTIONS,
    });
    const before = gateway.peakResidentBytes();
    const descriptorsBefore = gateway.descriptors();
    for (const port of [gateway.readinessPort, gateway.metricsPort]) {
      await openCrowd(t, { port, connections: 100, bytes });
      await checkServes(t, gateway);
    }
    const growth = gateway.peakResidentBytes() - before;
    t.true(growth <= MAX_GROWTH_BYTES, `memory has grown by ${growth} bytes`);
    const bound = descriptorsBefore + 2 * MAX_CONNECTIONS + OTHER_DESCRIPTORS;
    const used = gateway.descriptors();
    t.true(used <= bound, `${used} descriptors, at most ${bound} allowed`);
  });
}
