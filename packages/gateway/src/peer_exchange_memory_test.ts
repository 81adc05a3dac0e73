import { createSocket } from "node:dgram";
import test from "ava";
import { createSystemClock } from "@banyanspool/types";
import { PeerExchange } from "./peer_exchange.ts";
import { findFreePort, waitFor } from "./testing/running_gateway.ts";

const DATAGRAMS = 300;
const DATAGRAM_BYTES = 60_000;
const MAX_GROWTH_BYTES = 2 * 1024 * 1024;

// The garbage collector freed them only after tens of megabytes.
test("datagrams of a stranger hold no memory", async (t) => {
  const port = await findFreePort();
  let strangers = 0;
  const exchange = PeerExchange.create({
    instance: "gateway",
    incarnation: 1,
    host: "127.0.0.1",
    port,
    clock: createSystemClock(),
    log: { write: () => {}, dropped: () => 0, flush: () => {} },
    buildReport: () => {
      throw new Error("not called");
    },
    buildPeerReport: () => undefined,
    onState: () => {},
    onMessage: () => {},
    onDatagram: (direction) => {
      if (direction === "stranger") strangers += 1;
    },
  });
  await exchange.listen();
  const socket = createSocket("udp4");
  t.teardown(() => {
    exchange.close();
    socket.close();
  });
  const datagram = Buffer.alloc(DATAGRAM_BYTES, 1);
  const before = process.memoryUsage().arrayBuffers;
  for (let sent = 1; sent <= DATAGRAMS; sent += 1) {
    socket.send(datagram, port, "127.0.0.1");
    await waitFor(() => strangers === sent);
  }
  const growth = process.memoryUsage().arrayBuffers - before;
  t.true(growth <= MAX_GROWTH_BYTES, `${growth} bytes`);
});
