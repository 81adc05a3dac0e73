import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { CallerMemory } from "@banyanspool/caller-memory";
import test from "ava";
import { readBody } from "./read_body.ts";

const EVENTS = ["data", "end", "error", "close"];

// The body of an evicted request was held until its connection had closed.
test("a request whose body is given up keeps nothing that refers to it", async (t) => {
  const memory = CallerMemory.create({ totalBytes: 100, reserveBytes: 100 });
  const holding = memory.open({
    group: "acme",
    connection: undefined,
    onRoom: () => {},
    onEvict: () => {},
  });
  const req = Object.assign(new PassThrough(), {
    headers: { "content-length": "50" },
  });
  const listeners = () => EVENTS.map((event) => req.listenerCount(event));
  const before = listeners();
  const controller = new AbortController();
  const body = readBody(req as unknown as IncomingMessage, {
    maxBytes: 100,
    holding,
    signal: controller.signal,
  });
  req.write("x");
  controller.abort();
  t.is(await body, "aborted");
  t.deepEqual(listeners(), before);
});
