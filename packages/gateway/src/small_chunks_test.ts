import { once } from "node:events";
import test from "ava";
import { chat, startFleet, startGateway } from "./testing/running_gateway.ts";

const SMALL_CHUNKS_WITHOUT_EVENTS = {
  "bytes that are no line": "x".repeat(8),
  "lines without a blank line": "data: x\n",
  "comment lines": ": a note\n",
};
/** Time that a caller and a route give a response on a busy machine, in ms. */
const PATIENCE_MS = 30_000;
const SPOILT_BYTES = 640 * 1024;

for (const [what, chunk] of Object.entries(SMALL_CHUNKS_WITHOUT_EVENTS)) {
  // One stream without events stopped a gateway for all other callers.
  test(`other callers are served while a stream sends only ${what} in small chunks`, async (t) => {
    const fleet = await startFleet(t, { timeoutMs: PATIENCE_MS });
    await fleet.addReplica({ id: "i-1", service: "desk" });
    let finish = () => {};
    const written = new Promise<void>((resolve) => finish = resolve);
    await fleet.addReplica({
      id: "i-2",
      service: "pool",
      holds: ["m1"],
      answer: async (_req, res) => {
        res.writeHead(200, { "content-type": "text/event-stream" });
        const closed = once(res, "close");
        for (let sent = 0; sent < SPOILT_BYTES; sent += chunk.length) {
          if (res.destroyed) break;
          if (!res.write(chunk)) {
            await Promise.race([once(res, "drain"), closed]);
          }
        }
        finish();
      },
    });
    const { send, gateway } = await startGateway(t, fleet);
    const { headers, ...request } = chat("m1");
    const spoilt = send("/chat/", {
      ...request,
      headers: { ...headers, "deadline-ms": String(PATIENCE_MS) },
    }).catch(() => undefined);
    await written;
    t.is((await send("/look/")).status, 200);
    gateway.closeNow();
    await spoilt;
  });
}
