import type { IncomingMessage } from "node:http";
import type { CallerMemory, Holding } from "@banyanspool/caller-memory";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";

/** Limits on a request body. */
export interface BodyLimits {
  /** Maximum size, in bytes. */
  readonly maxBytes: number;
  /** Time to receive the whole body, in ms. */
  readonly timeoutMs: number;
  /** Memory that bodies are counted in. */
  readonly memory: CallerMemory;
  /** Organisation of the caller; empty without one. */
  readonly group: string;
  /** Called with what counts the body until the request ends. */
  readonly onHeld: (holding: Holding) => void;
  /** Called when the body is refused because memory is short. */
  readonly onEvicted: () => void;
}

/** Time for which a body waits for memory before another is evicted, in ms. */
const MAX_WAIT_MS = 1000;
const RETRY_AFTER_MS = 1000;

/**
 * Reads a request body, and pauses while memory is short. Refuses one that is too
 * large or incomplete.
 */
export async function readBody(
  req: IncomingMessage,
  limits: BodyLimits,
): Promise<Result<Buffer, Refusal>> {
  const { maxBytes, timeoutMs, memory, group } = limits;
  const tooLarge = refuse(
    "body_too_large",
    `The body is larger than ${maxBytes} bytes`,
  );
  if (Number(req.headers["content-length"] ?? 0) > maxBytes) {
    return err(tooLarge);
  }
  let wake = () => {};
  const holding = memory.open({
    group,
    connection: req.socket,
    onRoom: () => wake(),
    onEvict: () => wake(),
  });
  limits.onHeld(holding);
  const waitForRoom = () =>
    new Promise<void>((resolve) => {
      const timer = setInterval(() => memory.evictOne(), MAX_WAIT_MS);
      wake = () => {
        clearInterval(timer);
        resolve();
      };
      if (req.destroyed) wake();
    });
  const onClose = () => wake();
  req.once("close", onClose);
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
      const mayGoOn = holding.add(chunk.length);
      if (!mayGoOn && !holding.isClosed) await waitForRoom();
      if (holding.isClosed) {
        limits.onEvicted();
        const message = "Too many bodies are arriving at this entry";
        return err(
          refuse("overloaded", message, { retryAfterMs: RETRY_AFTER_MS }),
        );
      }
    }
    holding.keep();
    return ok(Buffer.concat(chunks));
  } catch {
    return err(
      refuse("bad_request", "The body ended early or took too long to arrive"),
    );
  } finally {
    clearTimeout(timer);
    req.off("close", onClose);
  }
}
