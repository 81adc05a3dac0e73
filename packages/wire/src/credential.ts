import { createHmac, timingSafeEqual } from "node:crypto";
import { Code, ConnectError, type Interceptor } from "@connectrpc/connect";

const HEADER = "x-banyanspool-credential";
const MAX_CLOCK_DIFFERENCE_MS = 300_000;

/** Options of the interceptors that sign and verify calls between daemons. */
export interface CredentialOptions {
  /** Secret that all daemons of the fleet have in their settings. */
  readonly secret: string;
  /** Name of the calling instance. */
  readonly instance: string;
  /** Returns the wall-clock time, in ms. */
  readonly wall: () => number;
}

/**
 * Signs each call with the fleet's secret. The signature covers the path of
 * the called method, so that it isn't valid for another method.
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

/**
 * Rejects calls with `Unauthenticated` unless they are signed with the fleet's
 * secret and their time stamp is within five minutes of this daemon's clock.
 */
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
  const [instance = "", issuedAt = "", signature = ""] = credential.split(" ");
  const clockDifferenceMs = Math.abs(now - Number(issuedAt));
  if (!(clockDifferenceMs <= MAX_CLOCK_DIFFERENCE_MS)) return false;
  const expected = sign(secret, `${instance}\n${issuedAt}\n${path}`);
  const a = Buffer.from(signature);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}

function sign(secret: string, text: string): string {
  return createHmac("sha256", secret).update(text).digest("base64url");
}
