import { err, ok, type Result } from "@banyanspool/types";

/**
 * Reads an optional time in ISO 8601 as Unix ms. The error is a sentence that
 * names the wrong value.
 */
export function parseTimeOption(
  text: string | undefined,
): Result<number | undefined, string> {
  if (text === undefined) return ok(undefined);
  const time = Date.parse(text);
  return Number.isNaN(time) ? err(`Cannot read the time "${text}"`) : ok(time);
}

/**
 * Reads an optional whole number of at least 0. The error is a sentence that
 * names the wrong value.
 */
export function parseCountOption(
  text: string | undefined,
): Result<number | undefined, string> {
  if (text === undefined) return ok(undefined);
  return /^\d+$/.test(text)
    ? ok(Number(text))
    : err(`Cannot read the number "${text}"`);
}
