import type { PromptPart } from "@banyanspool/types";

/**
 * Returns the ids of the parts that requests share: all but the last, which
 * belongs to the request itself or to its session.
 */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({ id }) => id);
}
