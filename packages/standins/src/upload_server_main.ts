import { type AddressInfo, createServer, type Socket } from "node:net";
import { UPLOAD_ANSWER_BODY, type UploadAnswer } from "./upload_server.ts";

const answer = process.argv[2] as UploadAnswer;
const PART = UPLOAD_ANSWER_BODY.slice(0, UPLOAD_ANSWER_BODY.length / 2);
const HEAD_END = "\r\n\r\n";
/** Time between the end of an answer and the reset behind it, in ms. */
const RESET_DELAY_MS = 20;

const server = createServer({ allowHalfOpen: true }, (socket) => {
  socket.on("error", () => {});
  void serve(socket);
});
server.listen(0, "127.0.0.1", () => {
  process.send!((server.address() as AddressInfo).port);
});
// The test has ended without stopping this process.
process.on("disconnect", () => process.exit());

/** Answers the first request on a connection. */
async function serve(socket: Socket): Promise<void> {
  let head = "";
  let uploadBytes = 0;
  for await (const chunk of socket.iterator({ destroyOnReturn: false })) {
    if (uploadBytes > 0) {
      uploadBytes -= (chunk as Buffer).length;
    } else {
      head += (chunk as Buffer).toString("latin1");
      const headEnd = head.indexOf(HEAD_END);
      if (headEnd < 0) continue;
      const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
      uploadBytes = length - (head.length - headEnd - HEAD_END.length);
      if (answerAtOnce(socket, formatHead(head))) return;
    }
    if (uploadBytes > 0) continue;
    if (answer === "upload read, then whole and ended") {
      socket.end(formatHead(head) + UPLOAD_ANSWER_BODY);
    }
    return;
  }
}

/** Returns whether the upload is left unread. */
function answerAtOnce(socket: Socket, head: string): boolean {
  switch (answer) {
    case "part, then reset":
      socket.write(head + PART);
      socket.resetAndDestroy();
      return true;
    case "part, then closed":
      socket.write(head + PART);
      socket.destroy();
      return true;
    case "part, then ended and reset":
      socket.end(head + PART);
      setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
      return true;
    case "part, then ended and upload unread":
      socket.end(head + PART);
      return true;
    case "whole, then ended and upload read":
      socket.end(head + UPLOAD_ANSWER_BODY);
      return false;
    default:
      return false;
  }
}

/** Head of an answer that ends with its connection. */
function formatHead(requestHead: string): string {
  const id = /request-id: (\S+)/i.exec(requestHead)?.[1] ?? "";
  return "HTTP/1.1 200 OK\r\nresponse-stamp: stamp\r\n" +
    `request-id: ${id}\r\n\r\n`;
}
