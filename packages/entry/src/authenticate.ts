import type { IncomingMessage } from "node:http";
import { err, ok, type Refusal, refuse, type Result } from "@banyanspool/types";
import { hashKey, type KeyOwner } from "@banyanspool/keys";
import type { EntryContext } from "./context.ts";

const RETRY_AFTER_MS = 2000;
const API_KEY_PATTERN = /bsk-[A-Za-z0-9_-]{43}/;

/** An authenticated caller. */
export interface Caller extends KeyOwner {
  /** SHA-256 hash of the caller's key. */
  readonly sha256: string;
}

/** Checks the caller's key against the current configuration. */
export function authenticate(
  ctx: EntryContext,
  req: IncomingMessage,
): Result<Caller, Refusal> {
  const { freshness } = ctx.member;
  if (freshness === "cutOff" || freshness === "empty") {
    const message =
      "This entry can't confirm that its configuration is current";
    const retryAfterMs = RETRY_AFTER_MS;
    return err(refuse("configuration_stale", message, { retryAfterMs }));
  }
  const header = req.headers.authorization;
  if (header === undefined) {
    return err(
      refuse("key_missing", "The request has no Authorization header"),
    );
  }
  const key = /^Bearer (\S+)$/i.exec(header)?.[1];
  if (key === undefined) {
    const message =
      'The Authorization header must be "Bearer" followed by a key';
    return err(refuse("key_invalid", message));
  }
  const sha256 = hashKey(key);
  const owner = ctx.keys.find(sha256);
  if (!owner) return err(refuse("key_invalid", "The key is not granted"));
  return ok({ ...owner, sha256 });
}

/** Whether a text to be forwarded to a backend server contains an API key. */
export function containsApiKey(text: string): boolean {
  return API_KEY_PATTERN.test(text);
}
