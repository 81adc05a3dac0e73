import { createHmac, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";

const HEADER = "x-banyanspool-credential";
const MAX_CLOCK_DIFFERENCE_MS = 300_000;

/** Options of the credential between daemons. */
export interface CredentialOptions {
  /** Secret that all daemons of the fleet have in their settings. */
  readonly secret: string;
  /** Instance that sends. */
  readonly instance: string;
  /** Wall clock. */
  readonly wall: () => number;
}

/**
 * Signs each call with the fleet's secret, bound to the called method, so
 * that a credential of one method is of no use for another.
 */
export function createCredentialInterceptor(
  { secret, instance, wall }: CredentialOptions,
): Interceptor {
  return (next) => (req) => {
    const issuedAt = wall();
    const path = new URL(req.url).pathname;
    const text = `${instance}\n${issuedAt}\n${path}`;
    const credential = `${instance} ${issuedAt} ${sign(secret, text)}`;
    req.header.set(HEADER, credential);
    return next(req);
  };
}

/** Refuses calls that no daemon of this fleet has signed. */
export function createCredentialVerifier(
  { secret, wall }: Omit<CredentialOptions, "instance">,
): Interceptor {
  return (next) => (req) => {
    const credential = req.header.get(HEADER) ?? "";
    const path = new URL(req.url).pathname;
    if (isValid(credential, { secret, path, now: wall() })) return next(req);
    throw new ConnectError(
      "The caller is not a daemon of this fleet",
      Code.Unauthenticated,
    );
  };
}

function isValid(
  credential: string,
  { secret, path, now }: { secret: string; path: string; now: number },
): boolean {
  const [instance = "", issuedAt = "", given = ""] = credential.split(" ");
  const difference = Math.abs(now - Number(issuedAt));
  if (!(difference <= MAX_CLOCK_DIFFERENCE_MS)) return false;
  const expected = sign(secret, `${instance}\n${issuedAt}\n${path}`);
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}

function sign(secret: string, text: string): string {
  return createHmac("sha256", secret).update(text).digest("base64url");
}
