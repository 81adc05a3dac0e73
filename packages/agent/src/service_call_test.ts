import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { create, type MessageInitShape } from "@bufbuild/protobuf";
import test, { type ExecutionContext } from "ava";
import {
  keepEventLoopBusy,
  startUploadServer,
  type UploadAnswer,
} from "@banyanspool/standins";
import { RunRequestSchema } from "@banyanspool/wire";
import { AttemptBuffer, type AttemptEnd } from "./attempt_buffer.ts";
import { runServiceCall } from "./service_call.ts";

/** Calls a service that answers each request by this function. */
async function callService(
  t: ExecutionContext,
  answer: (socket: Socket) => void,
): Promise<AttemptEnd["kind"] | undefined> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  t.teardown(() => server.close());
  const { port } = server.address() as AddressInfo;
  return await callPort(port, { method: "GET" });
}

/** Calls the service that listens on this port. */
async function callPort(
  port: number,
  request: MessageInitShape<typeof RunRequestSchema>,
): Promise<AttemptEnd["kind"] | undefined> {
  const buffer = AttemptBuffer.create({ maxUnreadBytes: 1024 });
  await runServiceCall({
    url: `http://127.0.0.1:${port}`,
    request: create(RunRequestSchema, { path: "/", ...request }),
    buffer,
    signal: new AbortController().signal,
  });
  return buffer.end?.kind;
}

const STREAM_HEAD =
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

test("a service's close-delimited response is complete when its connection is closed", async (t) => {
  const end = await callService(t, (socket) => {
    socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
  });
  t.is(end, "finished");
});

// A response without a length that was reset was passed on as complete.
test("a service's close-delimited response is cut off when its connection is reset", async (t) => {
  for (const delayMs of [0, 30]) {
    const end = await callService(t, (socket) => {
      socket.write("HTTP/1.1 200 OK\r\n\r\ntor");
      if (delayMs === 0) socket.resetAndDestroy();
      else setTimeout(() => socket.resetAndDestroy(), delayMs);
    });
    t.is(end, "refused", `after ${delayMs} ms`);
  }
});

// A stream that a crashed service cut off inside an event was passed on as
// complete.
test("a service's stream that ends inside an event is cut off", async (t) => {
  const end = await callService(t, (socket) => {
    socket.end(`${STREAM_HEAD}id: 1\ndata: a\n\nid: 2\nda`);
  });
  t.is(end, "refused");
});

test("a service's stream that ends between events is complete", async (t) => {
  const end = await callService(t, (socket) => {
    socket.end(`${STREAM_HEAD}id: 1\ndata: a\n\n`);
  });
  t.is(end, "finished");
});

const MALFORMED_HEADS = {
  "status 000": "000 OK\r\ncontent-length: 5",
  "a blank in a field's name": "200 OK\r\nx-no te: 1\r\ncontent-length: 5",
  "a blank behind a field's name": "200 OK\r\ncontent-length : 2",
  "a control byte in a field's name": "200 OK\r\ncontent\x01-length: 2",
};

for (const [what, head] of Object.entries(MALFORMED_HEADS)) {
  // Callers of similar systems received such responses.
  test(`a service's response with ${what} isn't passed on`, async (t) => {
    const end = await callService(t, (socket) => {
      socket.end(`HTTP/1.1 ${head}\r\n\r\nwhole`);
    });
    t.is(end, "refused");
  });
}

/** More than the buffers of a connection's sockets hold. */
const UPLOAD = new Uint8Array(12 * 1024 * 1024);
const TRIES = 10;

const UPLOAD_ENDS: Partial<Record<UploadAnswer, AttemptEnd["kind"]>> = {
  "part, then reset": "refused",
  "part, then closed": "refused",
  "part, then ended and reset": "refused",
  "whole, then ended and upload read": "finished",
  "upload read, then whole and ended": "finished",
};

for (const [answer, kind] of Object.entries(UPLOAD_ENDS)) {
  // Parts were passed on as complete.
  test.serial(`a service's answer without a length to a long upload is ${kind}: ${answer}`, async (t) => {
    const server = await startUploadServer(answer as UploadAnswer);
    t.teardown(server.stop);
    t.teardown(keepEventLoopBusy());
    const ends: (string | undefined)[] = [];
    for (let i = 0; i < TRIES; i += 1) {
      const request = { method: "POST", body: UPLOAD };
      ends.push(await callPort(server.port, request));
    }
    t.deepEqual(ends, Array(TRIES).fill(kind));
  });
}
