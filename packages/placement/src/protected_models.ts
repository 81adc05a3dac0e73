/** A model as far as it matters for what must stay resident. */
export interface ProtectionCandidate {
  /** Model name. */
  readonly name: string;
  /** Demand in replicas. */
  readonly demand: number;
  /** Requests that wait for it or for one of its adapters. */
  readonly waiting: number;
  /** Whether a replica holds it. */
  readonly isResident: boolean;
  /** Replicas whose adapter places its requests need; 1 if absent. */
  readonly copies?: number;
}

/** Part of all places that protected models may take; copies need the rest. */
const PROTECTED_SHARE = 0.8;
/** Places for each model above which all of them are protected. */
const ROOMY_FACTOR = 1.2;
/** A held model keeps its place against one with slightly more demand. */
const HELD_BONUS = 1.3;

/**
 * Chooses how many replicas each model must keep. With room for all, every
 * model keeps one; otherwise those that are waited for and then those with the
 * most demand, so that with more models than places the one that nobody asked
 * for lately makes way. Models whose requests need the adapter places of
 * several replicas get further ones, each counting for as much as it adds to
 * those there are (the method of highest averages).
 */
export function chooseProtectedModels(
  candidates: readonly ProtectionCandidate[],
  places: number,
): Map<string, number> {
  const isRoomy = places >= candidates.length * ROOMY_FACTOR;
  const seats = candidates.flatMap((candidate) => {
    const value = valueOf(candidate);
    return Array.from({ length: candidate.copies ?? 1 }, (_, i) => ({
      name: candidate.name,
      value: isRoomy && i === 0 ? Infinity : value / (i + 1),
    }));
  });
  seats.sort((a, b) => b.value - a.value);
  const count = Math.max(
    Math.floor(places * PROTECTED_SHARE),
    isRoomy ? candidates.length : 0,
  );
  const chosen = new Map<string, number>();
  for (const { name } of seats.slice(0, count)) {
    chosen.set(name, (chosen.get(name) ?? 0) + 1);
  }
  return chosen;
}

function valueOf(
  { demand, waiting, isResident: isHeld }: ProtectionCandidate,
): number {
  return waiting + demand * (isHeld ? HELD_BONUS : 1);
}
