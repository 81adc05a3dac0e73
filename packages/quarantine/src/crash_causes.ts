import type { CrashEvidence, CrashRecord } from "./crash_evidence.ts";
import { COMPLETE_AFTER_MS } from "./crash_evidence.ts";
import {
  isRequest,
  partSuspect,
  requestSuspect,
  type Suspect,
} from "./suspect.ts";

/** A likely cause of crashes. */
export interface Cause {
  /** The request or part. */
  readonly suspect: Suspect;
  /** Whether the crashes have hardly another explanation. */
  readonly isCertain: boolean;
}

/**
 * Crashes within this time may have one cause in common, such as a failed rack,
 * in ms. Together they have at most the weight of two.
 */
const COMMON_CAUSE_MS = 250;
const MAX_COMMON_CAUSE_WEIGHT = 2;
/** Weight of the crashes after which a request is taken for their cause. */
const REQUEST_WEIGHT = 2;
/** Weight of the crashes after which there is hardly another explanation. */
const CERTAIN_WEIGHT = 3;
/**
 * Number of distinct requests that it takes to explain the crashes of a part
 * before the part is taken for their cause, and for certain.
 */
const PART_REQUESTS = 2;
const CERTAIN_PART_REQUESTS = 3;

/**
 * Returns the requests that most likely caused the crashes that the known causes
 * don't explain; several if they are equally likely.
 */
export function findRequests(
  evidence: CrashEvidence,
  knownCauses: Iterable<Suspect>,
): Cause[] {
  const crashes = unexplainedBy(evidence, [...knownCauses]);
  const suspects = inFlightAt(crashes, REQUEST_WEIGHT).filter(isRequest);
  return likeliest(evidence, suspects, (suspect) => {
    const weight = weigh(crashesOf(evidence, suspect, crashes));
    const isCertain = weight >= CERTAIN_WEIGHT;
    return { weight: weight >= REQUEST_WEIGHT ? weight : 0, isCertain };
  });
}

/**
 * Returns the prompt parts that most likely caused the crashes that the known
 * parts don't explain; several if they are equally likely. A part of which one
 * request explains all crashes is none of them.
 */
export function findParts(
  evidence: CrashEvidence,
  { knownParts, now }: { knownParts: Iterable<Suspect>; now: number },
): Cause[] {
  const crashes = unexplainedBy(evidence, [...knownParts])
    .filter(({ at }) => at <= now - COMPLETE_AFTER_MS);
  const parts = inFlightAt(crashes, CERTAIN_WEIGHT)
    .filter((suspect) => !isRequest(suspect));
  return likeliest(evidence, parts, (suspect) => {
    const own = crashesOf(evidence, suspect, crashes);
    const weight = weigh(own);
    if (weight < CERTAIN_WEIGHT) return { weight: 0, isCertain: false };
    const requests = countExplainingRequests(evidence, own, suspect);
    return {
      weight: requests >= PART_REQUESTS ? weight : 0,
      isCertain: requests >= CERTAIN_PART_REQUESTS,
    };
  });
}

/**
 * Returns the suspects with the most weight, if they have any. Of those with as
 * much, the one that completed least recently is likelier.
 */
function likeliest(
  evidence: CrashEvidence,
  suspects: readonly Suspect[],
  judge: (suspect: Suspect) => { weight: number; isCertain: boolean },
): Cause[] {
  let causes: Cause[] = [];
  let best = { weight: 1, completedAt: Infinity };
  for (const suspect of suspects) {
    const { weight, isCertain } = judge(suspect);
    const completedAt = evidence.completedAt(suspect);
    if (weight < best.weight) continue;
    if (weight === best.weight && completedAt > best.completedAt) continue;
    if (weight > best.weight || completedAt < best.completedAt) causes = [];
    best = { weight, completedAt };
    causes.push({ suspect, isCertain });
  }
  return causes;
}

/** Crashes with a suspect in flight since it last completed. */
function crashesOf(
  evidence: CrashEvidence,
  suspect: Suspect,
  crashes: readonly CrashRecord[],
): CrashRecord[] {
  const completedAt = evidence.completedAt(suspect);
  return crashes.filter((crash) =>
    crash.at > completedAt && crash.suspects.has(suspect)
  );
}

/** Crashes that none of the causes explains, in order of time. */
function unexplainedBy(
  evidence: CrashEvidence,
  causes: readonly Suspect[],
): CrashRecord[] {
  return evidence.recent().filter((crash) =>
    !causes.some((cause) =>
      crash.at > evidence.completedAt(cause) && crash.suspects.has(cause)
    )
  );
}

/**
 * Number of requests with a part that it takes to explain its crashes, up to
 * {@link CERTAIN_PART_REQUESTS}; found greedily.
 */
function countExplainingRequests(
  evidence: CrashEvidence,
  crashes: readonly CrashRecord[],
  part: Suspect,
): number {
  let left = crashes;
  let count = 0;
  while (left.length > 0 && count < CERTAIN_PART_REQUESTS) {
    const explained = mostExplainedBy(evidence, left, part);
    if (explained.size === 0) return CERTAIN_PART_REQUESTS;
    left = left.filter((crash) => !explained.has(crash));
    count += 1;
  }
  return count;
}

/** Suspects that were in flight at a number of crashes at least. */
function inFlightAt(
  crashes: readonly CrashRecord[],
  minCrashes: number,
): Suspect[] {
  const counts = new Map<Suspect, number>();
  for (const { suspects } of crashes) {
    for (const suspect of suspects) {
      counts.set(suspect, (counts.get(suspect) ?? 0) + 1);
    }
  }
  return [...counts.keys()].filter((s) => counts.get(s)! >= minCrashes);
}

/** Crashes that the request with a part explains that explains most of them. */
function mostExplainedBy(
  evidence: CrashEvidence,
  crashes: readonly CrashRecord[],
  part: Suspect,
): ReadonlySet<CrashRecord> {
  const byRequest = new Map<string, Set<CrashRecord>>();
  for (const crash of crashes) {
    for (const { digest, parts } of crash.requests.values()) {
      if (!parts.some((id) => partSuspect(id) === part)) continue;
      if (evidence.completedAt(requestSuspect(digest)) > crash.at) continue;
      const explained = byRequest.get(digest) ?? new Set();
      byRequest.set(digest, explained.add(crash));
    }
  }
  let most: ReadonlySet<CrashRecord> = new Set();
  for (const explained of byRequest.values()) {
    if (explained.size > most.size) most = explained;
  }
  return most;
}

/** Weight of crashes, which are in order of time. */
function weigh(crashes: readonly CrashRecord[]): number {
  let weight = 0;
  let groupStart = -Infinity;
  let groupWeight = 0;
  for (const { at } of crashes) {
    if (at - groupStart > COMMON_CAUSE_MS) {
      groupStart = at;
      groupWeight = 0;
    }
    if (groupWeight >= MAX_COMMON_CAUSE_WEIGHT) continue;
    groupWeight += 1;
    weight += 1;
  }
  return weight;
}
