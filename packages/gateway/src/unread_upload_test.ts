import {
  keepEventLoopBusy,
  startUploadServer,
  UPLOAD_ANSWER_BODY,
  type UploadAnswer,
} from "@banyanspool/standins";
import test, { type ExecutionContext } from "ava";
import {
  type CallerResponse,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

/** More than the buffers of a connection's sockets hold. */
const UPLOAD_BYTES = 12 * 1024 * 1024;
const TRIES = 10;
/** Time that callers and routes give an answer on a busy machine, in ms. */
const PATIENCE_MS = 30_000;

/** Sends uploads, one after the other, to a replica that answers in this way. */
async function sendUploads(
  t: ExecutionContext,
  answer: UploadAnswer,
  { tries = TRIES, deadlineMs = PATIENCE_MS, isBusy = true } = {},
): Promise<CallerResponse[]> {
  const fleet = await startFleet(t, {
    maxBodyBytes: UPLOAD_BYTES,
    timeoutMs: PATIENCE_MS,
  });
  const server = await startUploadServer(answer);
  t.teardown(server.stop);
  fleet.setReplicaRow("i-1", {
    service: "desk",
    address: `127.0.0.1:${server.port}`,
    zone: "north",
    version: "v1",
    slots: 64,
    state: "ready",
    born: Date.now(),
    models: [],
    seq: 1,
  });
  const { send } = await startGateway(t, fleet);
  if (isBusy) t.teardown(keepEventLoopBusy());
  const body = "x".repeat(UPLOAD_BYTES);
  const headers = { "deadline-ms": String(deadlineMs) };
  const responses: CallerResponse[] = [];
  for (let i = 0; i < tries; i += 1) {
    responses.push(await send("/book/", { method: "POST", body, headers }));
  }
  return responses;
}

const CUT_OFF: UploadAnswer[] = [
  "part, then reset",
  "part, then closed",
  "part, then ended and reset",
];
const WHOLE: UploadAnswer[] = [
  "whole, then ended and upload read",
  "upload read, then whole and ended",
];

for (const answer of CUT_OFF) {
  // Callers received the part as a complete 200.
  test.serial(`an early answer without a length is not complete: ${answer}`, async (t) => {
    const responses = await sendUploads(t, answer);
    t.deepEqual(responses.map(({ status }) => status), Array(TRIES).fill(502));
  });
}

for (const answer of WHOLE) {
  test.serial(`an answer without a length to a long upload is complete: ${answer}`, async (t) => {
    const responses = await sendUploads(t, answer);
    t.deepEqual(
      responses.map(({ status, body }) => [status, body]),
      Array(TRIES).fill([200, UPLOAD_ANSWER_BODY]),
    );
  });
}

// The part was a complete 200.
test.serial("an early answer without a length whose upload stays unread ends at the deadline", async (t) => {
  const [res] = await sendUploads(t, "part, then ended and upload unread", {
    tries: 1,
    deadlineMs: 4000,
    isBusy: false,
  });
  t.is(res!.status, 504);
});
