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

/** A request or a part of prompts that may crash replicas. */
export type Suspect = `request:${string}` | `part:${string}`;

/** Returns a request as a suspect. */
export function requestSuspect(digest: string): Suspect {
  return `request:${digest}`;
}

/** Returns a part of prompts as a suspect. */
export function partSuspect(id: string): Suspect {
  return `part:${id}`;
}

/** Whether a text from another gateway names a suspect. */
export function isSuspect(text: string): text is Suspect {
  return text.startsWith("request:") || text.startsWith("part:");
}

/** Whether a suspect is a request, and not a part of prompts. */
export function isRequest(suspect: Suspect): boolean {
  return suspect.startsWith("request:");
}
