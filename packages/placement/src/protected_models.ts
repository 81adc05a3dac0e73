import { WAITING_REQUEST_DEMAND } from "./plan.ts";

/** A model that may be protected from unloading. */
export interface ProtectionCandidate {
  /** Model name. */
  readonly name: string;
  /** Demand, in replicas kept busy. */
  readonly demand: number;
  /** Requests waiting for the model or one of its adapters. */
  readonly waitingRequests: number;
  /** Whether the model is resident at a replica. */
  readonly isResident: boolean;
  /** Replicas needed for its demand and its adapters; 1 if absent. */
  readonly neededReplicas?: number;
  /** Demand averaged over minutes, in replicas kept busy; 0 if absent. */
  readonly longTermDemand?: number;
}

/** Fraction of all model slots for protected models; copies need the rest. */
const PROTECTED_SLOT_SHARE = 0.8;
/** Model slots per model from which on all models are protected. */
const PROTECT_ALL_SLOTS_PER_MODEL = 1.2;
/** Hysteresis: a resident model's demand is multiplied by this factor. */
const RESIDENT_DEMAND_FACTOR = 1.3;

/**
 * Chooses how many replicas each model must keep, given the number of model
 * slots over all replicas. With enough slots, every model keeps one. Otherwise
 * models are ranked by waiting requests plus demand, so that models without
 * recent requests are unloaded first. Among these, resident ones and those with
 * more demand in the last minutes are kept. A model that needs several replicas
 * competes for further ones by the method of highest averages: its n-th replica
 * ranks by an n-th of the model's value. A model without a replica that requests
 * wait for gets one whatever its rank.
 */
export function chooseProtectedModels(
  candidates: readonly ProtectionCandidate[],
  modelSlots: number,
): Map<string, number> {
  const canProtectAll =
    modelSlots >= candidates.length * PROTECT_ALL_SLOTS_PER_MODEL;
  const rankedReplicas = candidates.flatMap((candidate) => {
    const value = valueOf(candidate);
    return Array.from({ length: candidate.neededReplicas ?? 1 }, (_, i) => ({
      candidate,
      index: i,
      value: canProtectAll && i === 0 ? Infinity : value / (i + 1),
    }));
  });
  rankedReplicas.sort((a, b) =>
    a.value === b.value
      ? a.index - b.index || compareEqualValues(a.candidate, b.candidate)
      : b.value - a.value
  );
  const count = Math.max(
    Math.floor(modelSlots * PROTECTED_SLOT_SHARE),
    canProtectAll ? candidates.length : 0,
  );
  const chosen = new Map<string, number>();
  for (const { candidate: { name } } of rankedReplicas.slice(0, count)) {
    chosen.set(name, (chosen.get(name) ?? 0) + 1);
  }
  // The other places have models that nobody waits for.
  for (const { name, waitingRequests, isResident } of candidates) {
    if (waitingRequests === 0 || isResident || chosen.has(name)) continue;
    chosen.set(name, 1);
  }
  return chosen;
}

function compareEqualValues(
  a: ProtectionCandidate,
  b: ProtectionCandidate,
): number {
  return Number(b.isResident) - Number(a.isResident) ||
    (b.longTermDemand ?? 0) - (a.longTermDemand ?? 0);
}

function valueOf(
  { demand, waitingRequests, isResident }: ProtectionCandidate,
): number {
  return waitingRequests * WAITING_REQUEST_DEMAND +
    demand * (isResident ? RESIDENT_DEMAND_FACTOR : 1);
}
