import test from "ava";
import fc from "fast-check";
import { EventStreamSplitter, MAX_EVENT_BYTES } from "./event_stream.ts";

test("events are returned complete for all chunk sizes", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (sizes) => {
        const splitter = EventStreamSplitter.create();
        const bytes = Buffer.from(text);
        let out = "";
        let lastId: string | undefined;
        let at = 0;
        for (let i = 0; at < bytes.length; i += 1) {
          const size = sizes[i % sizes.length]!;
          const events = splitter.push(bytes.subarray(at, at + size));
          at += size;
          if (!events) continue;
          const received = events.bytes.toString();
          if (!/\r?\n\r?\n$/.test(received)) return false;
          out += received;
          lastId = events.lastId ?? lastId;
        }
        return out === text && lastId === "3" &&
          splitter.incompleteEvent.length === 0;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});

test("an incomplete event is not returned", (t) => {
  const splitter = EventStreamSplitter.create();
  const events = splitter.push(Buffer.from("id: 7\ndata: x\n\nid: 8\ndata: y"));
  t.is(events?.lastId, "7");
  t.is(splitter.incompleteEvent.toString(), "id: 8\ndata: y");
});

// Each small chunk copied and searched all bytes of the event that came before it.
test("an event that arrives in small chunks is as cheap as in one piece", (t) => {
  const splitter = EventStreamSplitter.create();
  const chunk = Buffer.from("data: x\n");
  for (let i = 0; i < MAX_EVENT_BYTES / chunk.length; i += 1) {
    if (splitter.push(chunk)) return t.fail("no event is complete");
  }
  t.is(splitter.push(Buffer.from("\n"))?.bytes.length, MAX_EVENT_BYTES + 1);
});

test("the id of the last event that has one is found, whatever the data holds", (t) => {
  const lastId = (text: string) =>
    EventStreamSplitter.create().push(Buffer.from(text))?.lastId;
  t.is(lastId("id: 7\ndata: x\n\ndata: id: 9\n\n"), "7");
  t.is(lastId("id:8\r\ndata: xid: 1\r\n\r\n"), "8");
  t.is(lastId("data: id: 3\n\n"), undefined);
  t.is(lastId("id\ndata: x\n\n"), undefined);
  t.is(lastId("data: y\nid: 5 6\n\n"), "5 6");
});
