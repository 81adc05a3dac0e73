import test from "ava";
import { chat, startFleet, startGateway } from "./testing/running_gateway.ts";

/** Around the sizes from which bytes are kept, copied, joined or passed on. */
const SIZES = [0, 1, 100, 255, 256, 257, 300, 500, 511, 512, 513, 700, 1500]
  .concat([4000, 9000, 70_000]);
const PIECE_BYTES = 90;

function textOf(size: number): string {
  return Array.from({ length: size }, (_, i) => i * i % 10).join("");
}

// Bodies of 257 to 511 bytes were cut in both directions.
test("bodies of any size are passed on unchanged, in both directions", async (t) => {
  const fleet = await startFleet(t);
  const replica = await fleet.addReplica({
    id: "i-1",
    service: "desk",
    answer: ({ body }, res) => void res.end(body),
  });
  const { send } = await startGateway(t, fleet);
  for (const size of SIZES) {
    const body = textOf(size);
    const res = await send("/book/", { method: "POST", body });
    t.is(replica.executedRequests.at(-1)!.body, body, `${size} bytes`);
    t.is(res.body, body, `${size} bytes`);
  }
});

test("events of any size are passed on unchanged, in pieces or not", async (t) => {
  const fleet = await startFleet(t);
  let pieceBytes = PIECE_BYTES;
  let events = "";
  await fleet.addReplica({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
    answer: async (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      for (let at = 0; at < events.length; at += pieceBytes) {
        res.write(events.slice(at, at + pieceBytes));
        await new Promise((resolve) => setImmediate(resolve));
      }
      res.end();
    },
  });
  const { send } = await startGateway(t, fleet);
  for (const size of SIZES) {
    for (pieceBytes of [PIECE_BYTES, 1e6]) {
      events = [1, 2, 3].map((id) => `id: ${id}\ndata: ${textOf(size)}\n\n`)
        .join("");
      const res = await send("/draft/", chat("m1"));
      t.is(res.body, events, `${size} bytes, pieces of ${pieceBytes}`);
    }
  }
});
