import type { IncomingMessage } from "node:http";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";

/** Limits of a caller's body. */
export interface BodyLimits {
  /** Most bytes. */
  readonly maxBytes: number;
  /** Time until the last byte, in ms. */
  readonly timeoutMs: number;
}

/** Reads a body within its limits. */
export async function readBody(
  req: IncomingMessage,
  { maxBytes, timeoutMs }: BodyLimits,
): Promise<Result<Buffer, Refusal>> {
  const tooLarge = refuse(
    "body_too_large",
    `The body is larger than ${maxBytes} bytes`,
  );
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    return err(tooLarge);
  }
  const chunks: Buffer[] = [];
  let bytes = 0;
  const timer = setTimeout(() => req.destroy(), timeoutMs);
  try {
    // Leaving the loop must not close the connection before the answer.
    const body = req.iterator({ destroyOnReturn: false });
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) return err(tooLarge);
      chunks.push(chunk);
    }
    return ok(Buffer.concat(chunks));
  } catch {
    return err(refuse("bad_request", "The body ended too early"));
  } finally {
    clearTimeout(timer);
  }
}
