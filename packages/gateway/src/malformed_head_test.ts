import type { Socket } from "node:net";
import test from "ava";
import { startFleet, startGateway } from "./testing/running_gateway.ts";

const BODY = "whole";
const FIELDS = {
  length: `content-length: ${BODY.length}\r\n`,
  chunks: "transfer-encoding: chunked\r\n",
  none: "",
};
const PIECE_DELAY_MS = 20;
type Framing = keyof typeof FIELDS;

/** Returns a response as bytes of a connection, one character each. */
function formatResponse(
  id: string,
  { status = "200", line = "", framing = "length" }: {
    status?: string;
    line?: string;
    framing?: Framing;
  },
): string {
  const isChunked = framing === "chunks";
  const body = isChunked ? `5\r\n${BODY}\r\n0\r\n\r\n` : BODY;
  return `HTTP/1.1 ${status} OK\r\nresponse-stamp: stamp\r\n` +
    `request-id: ${id}\r\n${line}${FIELDS[framing]}\r\n${body}`;
}

/**
 * Writes a response in two pieces, the second of which begins inside `text`, so
 * that the parser sees them in two reads.
 */
function writeInPieces(socket: Socket, response: string, text: string): void {
  const at = response.indexOf(text) + Math.floor(text.length / 2);
  const bytes = Buffer.from(response, "latin1");
  socket.write(bytes.subarray(0, at));
  setTimeout(() => socket.end(bytes.subarray(at)), PIECE_DELAY_MS);
}

/** Options of responses that aren't HTTP, by a description of the fault. */
const MALFORMED: Record<string, Parameters<typeof formatResponse>[1]> = {};
for (const framing of Object.keys(FIELDS) as Framing[]) {
  for (const status of ["000", "001", "099"]) {
    MALFORMED[`status ${status}, framed by ${framing}`] = { status, framing };
  }
}
for (const byte of [" ", "\t", "\0", "\x01", "\x0b", "\x1f", "\x7f", "\x85"]) {
  const lines = {
    "x-no?te": "x-no?te: 1\r\n",
    "x-note?": "x-note?: 1\r\n",
    "?x-note": "?x-note: 1\r\n",
    "content-length?": "content-length?: 2\r\n",
    "content?-length": "content?-length: 2\r\n",
    "transfer-encoding?": "transfer-encoding?: chunked\r\n",
    "connection?": "connection?: close\r\n",
  };
  const code = byte.charCodeAt(0).toString(16).padStart(2, "0");
  for (const [name, line] of Object.entries(lines)) {
    const shown = name.replace("?", `<${code}>`);
    const framing = name.startsWith("c") ? "none" : "length";
    MALFORMED[`field ${shown}`] = { line: line.replace("?", byte), framing };
  }
}

// Callers of similar systems received such responses.
test("a response whose head isn't HTTP never reaches a caller", async (t) => {
  const fleet = await startFleet(t);
  const replica = await fleet.addReplica({ id: "i-1", service: "desk" });
  const { send } = await startGateway(t, fleet);
  for (const [what, options] of Object.entries(MALFORMED)) {
    for (const isInPieces of [false, true]) {
      replica.answer = (req, { socket }) => {
        const id = String(req.headers["request-id"]);
        const response = formatResponse(id, options);
        const malformed = options.line ?? `${options.status} OK`;
        if (isInPieces) writeInPieces(socket!, response, malformed);
        else socket!.end(Buffer.from(response, "latin1"));
      };
      const res = await send("/book/", { method: "POST", body: "{}" });
      t.is(res.status, 502, `${what}: ${res.body}`);
    }
  }
});

test("the same response with a head that is HTTP reaches the caller", async (t) => {
  const fleet = await startFleet(t);
  const replica = await fleet.addReplica({ id: "i-1", service: "desk" });
  const { send } = await startGateway(t, fleet);
  for (const framing of Object.keys(FIELDS) as Framing[]) {
    replica.answer = (req, { socket }) => {
      const id = String(req.headers["request-id"]);
      const line = "x-note: 1\r\n";
      writeInPieces(socket!, formatResponse(id, { line, framing }), line);
    };
    const res = await send("/book/", { method: "POST", body: "{}" });
    t.is(res.status, 200);
    t.is(res.headers["x-note"], "1");
    t.is(res.body, BODY);
  }
});
