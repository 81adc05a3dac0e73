import test from "ava";
import { createSystemClock } from "@banyanspool/types";
import { type GatewayReport, PeerExchange } from "./peer_exchange.ts";
import { findFreePort, waitFor } from "./testing/running_gateway.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };
const REPORT = {
  configurationVersion: 1n,
  configurationEpoch: 0,
  leaving: false,
  loads: [],
  use: [],
  demand: [],
  news: [],
  knowsWindow: true,
  suspected: [],
  knownFencingToken: 0n,
  knownHeldVersion: 0n,
  listDigest: 0n,
  crashes: [],
  completions: [],
  quarantined: [],
  dataCentre: "north",
  streamNeeds: [],
  replicaLimits: [],
  leavingReplicas: [],
  evacuations: [],
} satisfies GatewayReport;

test("an exchange whose port is in use fails to start", async (t) => {
  const port = await findFreePort();
  const [first, second] = ["gw-1", "gw-2"].map((instance) =>
    PeerExchange.create({
      instance,
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
      onDatagram: () => {},
    })
  );
  await first!.listen();
  t.teardown(() => first!.close());
  await t.throwsAsync(() => second!.listen(), { code: "EADDRINUSE" });
});

// Its reports were ignored for a minute, and its use of rate limits with them.
test("a gateway that starts again with an earlier wall clock is heard once its earlier life is silent", async (t) => {
  const port = await findFreePort();
  let nowMs = 0;
  const heard: bigint[] = [];
  let received = 0;
  const start = async (host: string, incarnation: number) => {
    const exchange = PeerExchange.create({
      instance: host,
      incarnation,
      host,
      port,
      clock: { now: () => nowMs, wall: () => nowMs },
      log: SILENT_LOG,
      buildReport: () => REPORT,
      buildPeerReport: () => undefined,
      onState: ({ incarnation }) => {
        if (host === "127.0.0.1") heard.push(incarnation);
      },
      onMessage: () => {},
      onDatagram: (direction) => {
        if (host === "127.0.0.1" && direction === "received") received += 1;
      },
    });
    await exchange.listen();
    return exchange;
  };
  const listener = await start("127.0.0.1", 1);
  t.teardown(() => listener.close());
  listener.addPeer("127.0.0.2", "127.0.0.2");
  const before = await start("127.0.0.2", 100);
  before.addPeer("127.0.0.1", "127.0.0.1");
  before.announce();
  // Its report, and another one in reply to the listener's first.
  await waitFor(() => received === 2);
  before.close();
  const after = await start("127.0.0.2", 50);
  t.teardown(() => after.close());
  after.addPeer("127.0.0.1", "127.0.0.1");
  after.announce();
  await waitFor(() => received === 3);
  t.false(heard.includes(50n), "it may be a late datagram of an earlier life");
  nowMs = 600;
  after.announce();
  await waitFor(() => heard.includes(50n));
  t.pass();
});

// It was a stranger until the store was back.
test("a gateway that comes back at another address is heard while the member table can't be read", async (t) => {
  const port = await findFreePort();
  let nowMs = 0;
  const heard: bigint[] = [];
  const start = async (host: string, incarnation: number) => {
    const exchange = PeerExchange.create({
      instance: host === "127.0.0.1" ? "listener" : "returning",
      incarnation,
      host,
      port,
      clock: { now: () => nowMs, wall: () => nowMs },
      log: SILENT_LOG,
      buildReport: () => REPORT,
      buildPeerReport: () => undefined,
      onState: (state) => {
        if (host === "127.0.0.1") heard.push(state.incarnation);
      },
      onMessage: () => {},
      onDatagram: () => {},
      isMembershipKnown: () => false,
    });
    await exchange.listen();
    t.teardown(() => exchange.close());
    exchange.addPeer("listener", "127.0.0.1");
    return exchange;
  };
  const listener = await start("127.0.0.1", 1);
  listener.addPeer("returning", "127.0.0.2");
  (await start("127.0.0.2", 1)).announce();
  // Its report, and its answer to the listener's; a later one would come from
  // the address that it has left.
  await waitFor(() => heard.length === 2);
  t.deepEqual(heard, [1n, 1n]);
  nowMs = 600;
  (await start("127.0.0.3", 2)).announce();
  await waitFor(() => heard.includes(2n));
  t.deepEqual(listener.peers.map(({ host }) => host), ["127.0.0.3"]);
});
