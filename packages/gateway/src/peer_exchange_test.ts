import test from "ava";
import { createSystemClock } from "@banyanspool/types";
import { PeerExchange } from "./peer_exchange.ts";
import { findFreePort } from "./testing/running_gateway.ts";

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
