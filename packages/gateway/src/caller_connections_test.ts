import { EventEmitter } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import test from "ava";
import { CallerConnections, type OnClosed } from "./caller_connections.ts";

// A timer that was started after the end of the connection stayed.
test("what is to be called at a connection's end is called after it", (t) => {
  const connections = CallerConnections.create({
    maxConnections: 1,
    maxRequestsAhead: 1,
    onDrop: () => {},
    onPause: () => {},
  });
  const socket = new Socket();
  connections.add(socket);
  let onClosed: OnClosed | undefined;
  connections.serve({
    req: { socket } as IncomingMessage,
    res: new EventEmitter() as ServerResponse,
  }, (given) => {
    onClosed = given;
    return () => {};
  });
  socket.emit("close");
  let calls = 0;
  onClosed!(() => calls += 1);
  t.is(calls, 1);
});
