import { createHash } from "node:crypto";

/**
 * Orders candidates by their rendezvous weight for a key, highest first. All
 * entries prefer the same replica without communicating, and the loss of a
 * replica moves only the keys that preferred it. Source: Thaler and
 * Ravishankar, "A Name-Based Mapping Scheme for Rendezvous".
 */
export function rankByAffinity<T extends { readonly id: string }>(
  key: string,
  candidates: readonly T[],
): T[] {
  return candidates
    .map((candidate) => ({ candidate, weight: weigh(key, candidate.id) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ candidate }) => candidate);
}

function weigh(key: string, id: string): number {
  return createHash("md5").update(`${key}\n${id}`).digest().readUInt32LE();
}
