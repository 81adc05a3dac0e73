/** A model as far as it matters for what must stay resident. */
export interface ProtectedCandidate {
  /** Model name. */
  readonly name: string;
  /** Demand in replicas. */
  readonly demand: number;
  /** Requests that wait for it. */
  readonly waiting: number;
  /** Whether a replica holds it. */
  readonly isHeld: boolean;
}

/** Part of all places that protected models may take; copies need the rest. */
const PROTECTED_SHARE = 0.8;
/** Places for each model above which all of them are protected. */
const ROOMY_FACTOR = 1.2;
/** A held model keeps its place against one with slightly more demand. */
const HELD_BONUS = 1.3;

/**
 * Chooses the models whose last replica must not be unloaded. With room for
 * all, that is every model; otherwise those that are waited for and then those
 * with the most demand, so that with more models than places the one that
 * nobody asked for lately makes way.
 */
export function chooseProtectedModels(
  candidates: readonly ProtectedCandidate[],
  places: number,
): Set<string> {
  const count = places >= candidates.length * ROOMY_FACTOR
    ? candidates.length
    : Math.floor(places * PROTECTED_SHARE);
  const ranked = [...candidates].sort((a, b) => valueOf(b) - valueOf(a));
  return new Set(ranked.slice(0, count).map(({ name }) => name));
}

function valueOf({ demand, waiting, isHeld }: ProtectedCandidate): number {
  return waiting + demand * (isHeld ? HELD_BONUS : 1);
}
