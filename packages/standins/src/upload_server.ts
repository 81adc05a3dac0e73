import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { extname } from "node:path";
import { fileURLToPath } from "node:url";

/** How an {@link UploadServer} answers, without a length, and ends. */
export type UploadAnswer =
  /** It sends a part of its body at once and resets the connection. */
  | "part, then reset"
  /** It sends a part of its body at once and closes, with the upload unread. */
  | "part, then closed"
  /** It sends a part of its body at once, ends it and resets the connection. */
  | "part, then ended and reset"
  /** It sends a part of its body at once, ends it and reads nothing more. */
  | "part, then ended and upload unread"
  /** It sends its body at once, ends it and reads the upload. */
  | "whole, then ended and upload read"
  /** It reads the upload, sends its body and ends. */
  | "upload read, then whole and ended";

/** Body that the server sends, whole or in part. */
export const UPLOAD_ANSWER_BODY = "0123456789";

/**
 * Service in a process of its own, so that its connections go on while the
 * event loop of the test is busy.
 */
export interface UploadServer {
  /** Port on the loopback address. */
  readonly port: number;
  /** Ends the process. */
  readonly stop: () => void;
}

const MAIN = new URL(
  `./upload_server_main${extname(import.meta.url)}`,
  import.meta.url,
);

/** Starts a service that answers each request in this way. */
export async function startUploadServer(
  answer: UploadAnswer,
): Promise<UploadServer> {
  const child: ChildProcess = fork(fileURLToPath(MAIN), [answer]);
  const [port] = await once(child, "message") as [number];
  return { port, stop: () => child.kill("SIGKILL") };
}
