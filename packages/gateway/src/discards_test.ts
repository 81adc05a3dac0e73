import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { setTimeout as delay } from "node:timers/promises";
import test from "ava";
import { Discards } from "./discards.ts";

const PIECE = Buffer.alloc(64 * 1024);
const CONNECTIONS = 100;
/** In which all connections are closed, with a margin for a busy machine. */
const PATIENCE_MS = 30_000;
/** Of 100 MiB that the connections may have read without turns. */
const MAX_BYTES = 50 * 1024 * 1024;

/** A connection whose client sends without end. */
function endlessSender(onRead: (bytes: number) => void): Socket {
  const stream = new Duplex({
    read() {
      onRead(PIECE.length);
      this.push(PIECE);
    },
    write: (_chunk, _encoding, done) => done(),
  });
  return stream as unknown as Socket;
}

// Each was read at once, and what is read is freed late.
test("a crowd of refused senders is read in turns, and closed", async (t) => {
  const discards = Discards.create();
  let readBytes = 0;
  const sockets = Array.from(
    { length: CONNECTIONS },
    () => endlessSender((bytes) => readBytes += bytes),
  );
  for (const socket of sockets) discards.end(socket);
  const until = performance.now() + PATIENCE_MS;
  while (sockets.some(({ destroyed }) => !destroyed)) {
    if (performance.now() > until) break;
    await delay(20);
  }
  t.true(sockets.every(({ destroyed }) => destroyed));
  t.true(readBytes <= MAX_BYTES, `${readBytes} bytes`);
});
