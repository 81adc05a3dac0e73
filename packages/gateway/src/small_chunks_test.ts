import { once } from "node:events";
import test from "ava";
import { chat, startFleet, startGateway } from "./testing/running_gateway.ts";

const SMALL_CHUNKS_WITHOUT_EVENTS = {
  "bytes that are no line": "x".repeat(8),
  "lines without a blank line": "data: x\n",
  "comment lines": ": a note\n",
};
const SPOILT_BYTES = 640 * 1024;

for (const [what, chunk] of Object.entries(SMALL_CHUNKS_WITHOUT_EVENTS)) {
  // One stream without events stopped a gateway for all other callers.
  test(`other callers are served while a stream sends only ${what} in small chunks`, async (t) => {
    const fleet = await startFleet(t);
    await fleet.addReplica({ id: "i-1", service: "desk" });
    let finish = () => {};
    const written = new Promise<void>((resolve) => finish = resolve);
    await fleet.addReplica({
      id: "i-2",
      service: "pool",
      holds: ["m1"],
      answer: async (_req, res) => {
        res.writeHead(200, { "content-type": "text/event-stream" });
        for (let sent = 0; sent < SPOILT_BYTES; sent += chunk.length) {
          if (!res.write(chunk)) await once(res, "drain");
        }
        finish();
      },
    });
    const { send } = await startGateway(t, fleet);
    const spoilt = send("/chat/", chat("m1")).catch(() => undefined);
    await written;
    t.is((await send("/look/")).status, 200);
    await spoilt;
  });
}
