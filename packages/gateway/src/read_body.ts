import type { IncomingMessage } from "node:http";
import type { Holding } from "@banyanspool/caller-memory";
import { ByteBuffer } from "@banyanspool/responses";

/** Why a request's body was not read to its end. */
export type BodyFailure = "tooLarge" | "broken" | "aborted";

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  /** Longest body, in bytes. */
  readonly maxBytes: number;
  /** Memory that the body is counted in. */
  readonly holding: Holding;
  /** Aborted when the body must not be read any more. */
  readonly signal: AbortSignal;
}

/**
 * Reads a request's body to its end, and pauses while memory is short. Resolves
 * with undefined if the request has none.
 */
export async function readBody(
  req: IncomingMessage,
  { maxBytes, holding, signal }: ReadBodyOptions,
): Promise<Buffer | undefined | BodyFailure> {
  const length = req.headers["content-length"];
  if (Number(length) > maxBytes) return "tooLarge";
  const isChunked = req.headers["transfer-encoding"] !== undefined;
  if (length === undefined && !isChunked) {
    req.resume();
    return undefined;
  }
  if (signal.aborted) return "aborted";
  const body = ByteBuffer.create();
  const failure = await new Promise<BodyFailure | undefined>((resolve) => {
    const end = (failure?: BodyFailure) => {
      req.off("data", onData);
      req.off("end", onEnd);
      req.off("error", onBroken);
      req.off("close", onBroken);
      signal.removeEventListener("abort", onAbort);
      if (failure !== undefined) req.pause();
      resolve(failure);
    };
    const onEnd = () => end();
    const onBroken = () => end("broken");
    const onData = (piece: Buffer) => {
      if (body.length + piece.length > maxBytes) return end("tooLarge");
      body.append(piece);
      if (!holding.add(piece.length) && !signal.aborted) req.pause();
    };
    const onAbort = () => end("aborted");
    signal.addEventListener("abort", onAbort);
    req.on("data", onData);
    req.on("end", onEnd);
    req.on("error", onBroken);
    req.on("close", onBroken);
  });
  return failure ?? body.takeAll();
}
