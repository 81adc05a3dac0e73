import test from "ava";
import fc from "fast-check";
import { EventStreamSplitter } from "./event_stream.ts";

test("events come out whole, however the bytes are cut", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 1, max: 9 }), { minLength: 1 }),
      (sizes) => {
        const cutter = EventStreamSplitter.create();
        const bytes = Buffer.from(text);
        let out = "";
        let lastId: string | undefined;
        let at = 0;
        for (let i = 0; at < bytes.length; i += 1) {
          const size = sizes[i % sizes.length]!;
          const whole = cutter.push(bytes.subarray(at, at + size));
          at += size;
          if (!whole) continue;
          const piece = whole.bytes.toString();
          if (!/\r?\n\r?\n$/.test(piece)) return false;
          out += piece;
          lastId = whole.lastId ?? lastId;
        }
        return out === text && lastId === "3" &&
          cutter.incompleteEvent.length === 0;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});

test("a torn event stays behind", (t) => {
  const cutter = EventStreamSplitter.create();
  const whole = cutter.push(Buffer.from("id: 7\ndata: x\n\nid: 8\ndata: y"));
  t.is(whole?.lastId, "7");
  t.is(cutter.incompleteEvent.toString(), "id: 8\ndata: y");
});
