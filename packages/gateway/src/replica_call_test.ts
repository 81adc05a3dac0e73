import { type AddressInfo, createServer, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import type { BackendServer } from "@banyanspool/types";
import { ConnectionPools } from "./connection_pools.ts";
import { ReplicaCall, ReplicaCallError } from "./replica_call.ts";

/** Starts a TCP server that calls `answer` for each chunk it receives. */
async function startReplica(
  t: ExecutionContext,
  answer: (socket: Socket, request: string) => void,
): Promise<BackendServer> {
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => answer(socket, bytes.toString()));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  return {
    id: "i-1",
    service: "shop",
    address: `127.0.0.1:${port}`,
    dataCentre: "north",
    slots: 1,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: [],
  };
}

function blockFor(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

function createPools(t: ExecutionContext): ConnectionPools {
  const pools = ConnectionPools.create({ maxConnectionsFor: () => 4 });
  t.teardown(() => pools.closeAllExcept([]));
  return pools;
}

function call(
  pools: ConnectionPools,
  replica: BackendServer,
  maySend?: () => boolean,
): ReplicaCall {
  return ReplicaCall.create({
    maySend,
    connections: pools.forReplica(replica),
    origin: `http://${replica.address}`,
    method: "GET",
    target: "/",
    headers: ["Host", "a.example"],
  });
}

async function readAll(started: ReplicaCall): Promise<string> {
  await started.head;
  let text = "";
  for await (const chunk of started.body()) text += chunk.toString();
  return text;
}

async function failureOf(started: ReplicaCall): Promise<string> {
  try {
    await readAll(started);
    return "none";
  } catch (error) {
    return (error as ReplicaCallError).failure;
  }
}

test("a close-delimited response is complete when its connection is closed", async (t) => {
  const replica = await startReplica(t, (socket) => {
    socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
  });
  t.is(await readAll(call(createPools(t), replica)), "whole");
});

test("a close-delimited response is broken when its connection is reset", async (t) => {
  const replica = await startReplica(t, (socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\ntor");
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  t.is(await failureOf(call(createPools(t), replica)), "broken");
});

/**
 * Returns how calls end that get a part of a response with these header lines
 * and a reset directly after it.
 */
async function failuresAfterReset(
  t: ExecutionContext,
  lines: string,
): Promise<string[]> {
  const replica = await startReplica(t, (socket) => {
    // Blocks the event loop, so that the bytes and the reset are read together.
    socket.write(`HTTP/1.1 200 OK\r\n${lines}\r\ntor`);
    socket.resetAndDestroy();
    blockFor(30);
  });
  const failures: string[] = [];
  for (let i = 0; i < 10; i += 1) {
    failures.push(await failureOf(call(createPools(t), replica)));
  }
  return failures;
}

test("a reset directly after the last bytes of a close-delimited response is detected", async (t) => {
  t.deepEqual(await failuresAfterReset(t, ""), Array(10).fill("broken"));
});

for (
  const encoding of [
    "identity",
    "gzip",
    "chunked, gzip",
    "xchunked",
    "gzip chunked",
    "chunked\t",
    "chunked\r\nTransfer-Encoding: gzip",
  ]
) {
  // The part was a complete response.
  test(`a reset directly after the last bytes of a response with transfer encoding ${JSON.stringify(encoding)} is detected`, async (t) => {
    const lines = `Transfer-Encoding: ${encoding}\r\n`;
    t.deepEqual(await failuresAfterReset(t, lines), Array(10).fill("broken"));
  });
}

test("a response shorter than its content length is broken", async (t) => {
  const replica = await startReplica(t, (socket) => {
    socket.end("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ntorn");
  });
  t.is(await failureOf(call(createPools(t), replica)), "broken");
});

test("a second response to one request is discarded", async (t) => {
  let requests = 0;
  const replica = await startReplica(t, (socket) => {
    requests += 1;
    const text = `HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${requests}`;
    socket.write(requests === 1 ? text + text : text);
  });
  const pools = createPools(t);
  t.is(await readAll(call(pools, replica)), "1");
  t.is(await readAll(call(pools, replica)), "2");
});

test("a request whose connection is reset is not sent again", async (t) => {
  let requests = 0;
  const replica = await startReplica(t, (socket) => {
    requests += 1;
    socket.resetAndDestroy();
  });
  t.is(await failureOf(call(createPools(t), replica)), "broken");
  await new Promise((resolve) => setTimeout(resolve, 50));
  t.is(requests, 1);
});

test("a call fails as not sent when its connection is refused", async (t) => {
  const replica = await startReplica(t, () => {});
  const unreachable = { ...replica, address: "127.0.0.1:1" };
  t.is(await failureOf(call(createPools(t), unreachable)), "notSent");
});

test("aborting a call closes its connection", async (t) => {
  let markClosed = () => {};
  const closed = new Promise<void>((resolve) => {
    markClosed = resolve;
  });
  const replica = await startReplica(t, (socket) => {
    socket.on("close", markClosed);
    started.abort();
  });
  const started = call(createPools(t), replica);
  await closed;
  t.is(await failureOf(started), "aborted");
});

// Requests that waited for a connection were sent to a replica that wanted nothing.
test("a call that waits for a connection isn't sent if it may no longer be", async (t) => {
  let arrivals = 0;
  let isPaused = false;
  const replica = await startReplica(t, (socket) => {
    arrivals += 1;
    setTimeout(() => {
      isPaused = true;
      socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }, 50);
  });
  const pools = createPools(t);
  const calls = Array.from(
    { length: 9 },
    () => call(pools, replica, () => !isPaused),
  );
  const heads = await Promise.allSettled(calls.map(({ head }) => head));
  const failures = heads.flatMap((head) =>
    head.status === "rejected"
      ? [(head.reason as ReplicaCallError).failure]
      : []
  );
  t.is(arrivals, 4, "one for each connection");
  t.deepEqual(failures, Array.from({ length: 5 }, () => "notSent"));
});

// Its caller was told that it may have run, and couldn't send it again.
test("a call that is aborted while it waits for a connection is not sent", async (t) => {
  const busy: Socket[] = [];
  const replica = await startReplica(t, (socket) => busy.push(socket));
  const pools = createPools(t);
  const running = Array.from({ length: 4 }, () => call(pools, replica));
  while (busy.length < running.length) await setImmediate();
  const aborted = call(pools, replica);
  const next = call(pools, replica);
  aborted.abort();
  t.is(await failureOf(aborted), "notSent");
  const answer = (socket: Socket) =>
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  for (const socket of busy.splice(0)) answer(socket);
  for (const each of running) t.is(await readAll(each), "");
  while (busy.length === 0) await setImmediate();
  answer(busy[0]!);
  t.is(await readAll(next), "");
  t.is(busy.length, 1, "only the next call arrived");
});
