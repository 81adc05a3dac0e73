import { createSocket } from "node:dgram";
import test from "ava";
import { create, toBinary } from "@bufbuild/protobuf";
import { GatewayStateSchema } from "@banyanspool/wire";
import { checkServes, startGatewayProcess } from "./testing/gateway_process.ts";
import { startFleet } from "./testing/running_gateway.ts";

const MAX_GROWTH_BYTES = 64 * 1024 * 1024;
const DATAGRAMS = 3000;
const DATAGRAMS_AT_ONCE = 100;
const GARBAGE_BYTES = 60_000;
const SETTLE_MS = 1000;
const STRANGER = "127.0.0.77";

const pause = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const CROWDS = {
  "reports of ever new instances": (i: number) =>
    toBinary(
      GatewayStateSchema,
      create(GatewayStateSchema, {
        instance: `stranger-${i}-${"x".repeat(500)}`,
        incarnation: BigInt(i),
        sequence: 1n,
        use: [{ organisation: `organisation-${i}`, tokens: 1n }],
        demand: [{ name: `model-${i}`, waiting: 1 }],
        replicaLimits: [{ replica: `replica-${i}`, ratePerS: 1, ageMs: 1 }],
        leavingReplicas: [`replica-${i}`],
      }),
    ),
  // Green without a check of the sender: the records of streams are bounded.
  "messages of ever new streams and replicas": (i: number) =>
    toBinary(
      GatewayStateSchema,
      create(GatewayStateSchema, {
        instance: `stranger-${i}`,
        streamMessage: {
          origins: [{ id: `stream-${i}`, version: "v1" }],
          queries: [`stream-${i}`],
        },
      }),
    ),
  // Protobuf decodes some of it, as fields that it doesn't know.
  "garbage": (i: number) => Buffer.alloc(GARBAGE_BYTES, i),
};

for (const [name, build] of Object.entries(CROWDS)) {
  test.serial(`a gateway ignores a stranger's ${name}`, async (t) => {
    const gateway = await startGatewayProcess(t, await startFleet(t));
    const before = gateway.peakResidentBytes();
    const socket = createSocket("udp4");
    t.teardown(() => socket.close());
    let answers = 0;
    socket.on("message", () => answers += 1);
    await new Promise<void>((resolve) =>
      socket.bind(gateway.peerPort, STRANGER, resolve)
    );
    for (let i = 0; i < DATAGRAMS; i += 1) {
      socket.send(build(i), gateway.peerPort, gateway.host);
      if (i % DATAGRAMS_AT_ONCE === 0) await pause(1);
    }
    await checkServes(t, gateway);
    await pause(SETTLE_MS);
    await checkServes(t, gateway);
    t.is(answers, 0, "the gateway sends datagrams to a stranger");
    const growth = gateway.peakResidentBytes() - before;
    t.log(`memory has grown by ${growth} bytes`);
    t.true(growth <= MAX_GROWTH_BYTES, `memory has grown by ${growth} bytes`);
  });
}
