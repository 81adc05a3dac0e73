import { createHash } from "node:crypto";
import type { RequestFingerprint } from "@banyanspool/quarantine";
import type { RequestScope } from "./request_scope.ts";

const DIGEST_CHARACTERS = 16;
const digests: WeakMap<RequestScope, string> = new WeakMap();

/**
 * Returns a request's fingerprint. Its digest is computed when it is read; the
 * last part of its prompt, which belongs to the request itself or to its session,
 * is left out.
 */
export function fingerprintOf(scope: RequestScope): RequestFingerprint {
  return {
    get digest() {
      return digestOf(scope);
    },
    parts: scope.caller.promptParts.slice(0, -1).map(({ id }) => id),
  };
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
