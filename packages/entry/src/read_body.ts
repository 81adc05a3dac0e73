import type { IncomingMessage } from "node:http";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";

/** Limits on a request body. */
export interface BodyLimits {
  /** Maximum size, in bytes. */
  readonly maxBytes: number;
  /** Time to receive the whole body, in ms. */
  readonly timeoutMs: number;
}

/** Reads a request body; refuses one that is too large or incomplete. */
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
    // Leaving the loop must not destroy the connection before the response is
    // sent.
    const body = req.iterator({ destroyOnReturn: false });
    for await (const chunk of body as AsyncIterable<Buffer>) {
      bytes += chunk.length;
      if (bytes > maxBytes) return err(tooLarge);
      chunks.push(chunk);
    }
    return ok(Buffer.concat(chunks));
  } catch {
    return err(
      refuse("bad_request", "The body ended early or took too long to arrive"),
    );
  } finally {
    clearTimeout(timer);
  }
}
