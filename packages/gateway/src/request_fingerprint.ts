import { createHash } from "node:crypto";
import type { RequestScope } from "./request_scope.ts";

/** What a request has in common with others. */
export interface RequestFingerprint {
  /**
   * Digest of organisation, method, host, target and body: all attempts at a
   * request have the same one, and no two organisations share one.
   */
  readonly digest: string;
  /** Ids of the shared parts of its prompt. */
  readonly parts: readonly string[];
}

const DIGEST_CHARACTERS = 16;
const digests: WeakMap<RequestScope, string> = new WeakMap();

/** Returns a request's fingerprint, whose digest is computed when it is read. */
export function fingerprintOf(scope: RequestScope): RequestFingerprint {
  return {
    get digest() {
      return digestOf(scope);
    },
    parts: sharedPartIds(scope),
  };
}

/**
 * Returns the ids of all parts of the prompt but the last, which belongs to the
 * request itself or to its session.
 */
export function sharedPartIds({ caller }: RequestScope): string[] {
  return caller.promptParts.slice(0, -1).map(({ id }) => id);
}

function digestOf(scope: RequestScope): string {
  const known = digests.get(scope);
  if (known !== undefined) return known;
  const { organisation, req, caller, body } = scope;
  const fields = [organisation?.name, req.method, caller.host, caller.target];
  const digest = createHash("sha256")
    .update(JSON.stringify(fields))
    .update(body ?? "")
    .digest("base64url")
    .slice(0, DIGEST_CHARACTERS);
  digests.set(scope, digest);
  return digest;
}
