import type { ReplicaReport } from "@banyanspool/types";
import { findBestCopy } from "./best_copy.ts";
import {
  isWorthItsPrice,
  type LoadWorth,
  reliefByCopy,
  worthOfRelief,
} from "./load_worth.ts";
import {
  demandOf,
  lastingDemandOf,
  lossOfAbsence,
  type ModelLoadTarget,
} from "./model_load_target.ts";
import {
  applyMove,
  createWorkingState,
  findTarget,
  mayChange,
  type WorkingState,
} from "./working_state.ts";

/** A model and the demand for it. */
export interface PlacementModel {
  /** Model name. */
  readonly name: string;
  /** Memory of its weights, in MiB. */
  readonly weightsMib: number;
  /** KV cache of one full context, in MiB; the model can't serve with less. */
  readonly contextKvMib: number;
  /** Least number of replicas; 0 if the model may be unloaded everywhere. */
  readonly minReplicas: number;
  /** Demand averaged over the fast window, in replicas kept busy. */
  readonly fastReplicas: number;
  /** Demand averaged over the slow window, in replicas kept busy. */
  readonly slowReplicas: number;
  /** Requests waiting for the model or one of its adapters; 0 if absent. */
  readonly waitingRequests?: number;
  /** Demand averaged over minutes, in replicas kept busy; 0 if absent. */
  readonly longTermReplicas?: number;
  /**
   * Replicas beyond the first that are needed whatever their loads cost. If
   * absent, `minReplicas` are needed, the first included.
   */
  readonly requiredReplicas?: number;
  /** Time of a load from the weight store, in s. */
  readonly loadS?: number;
}

/** Input of a placement plan. */
export interface PlacementInput {
  /** All models. */
  readonly models: readonly PlacementModel[];
  /** Reports of all replicas of the fleet. */
  readonly replicas: readonly ReplicaReport[];
  /** Data centre whose replicas may load models; all if absent. */
  readonly dataCentre?: string;
  /** Moves that were started and that no report shows yet. */
  readonly pendingMoves: readonly PlacementMove[];
  /** Models that a replica must not unload for now, as `replica model`. */
  readonly keepResident?: ReadonlySet<string>;
  /** Number of requests that use a model at a replica, by `replica model`. */
  readonly inUse?: ReadonlyMap<string, number>;
  /** Models that a replica loads without the weight store, as `replica model`. */
  readonly localCopies?: ReadonlySet<string>;
  /** Models that at least one replica of a group must have. */
  readonly groupNeeds?: readonly GroupNeed[];
  /** Models that come first, in this order, while no replica has them. */
  readonly urgentModels?: readonly string[];
}

/** A model that at least one replica of a group must have. */
export interface GroupNeed {
  /** Model name. */
  readonly model: string;
  /** Ids of the group's replicas. */
  readonly replicas: ReadonlySet<string>;
}

/** Limits and thresholds of a plan. */
export interface PlacementOptions {
  /** Most moves in a plan, those under way included. */
  readonly maxMoves: number;
  /** Busy fraction of a replica from which its models may get copies. */
  readonly busyShare: number;
  /** Fraction of a replica's memory that copies must leave to the KV cache. */
  readonly kvShare: number;
  /** Reduction of the sum of squared busy shares that a copy must exceed. */
  readonly minGain: number;
}

/** A model to load at a replica, after unloading others. */
export interface PlacementMove {
  /** Replica that loads the model. */
  readonly replica: string;
  /** Model to load. */
  readonly load: string;
  /** Models to unload first. */
  readonly unload: readonly string[];
  /**
   * `reach`: no replica has the model; `copies`: fewer than `minReplicas` have
   * it; `demand`: a copy relieves busy replicas; `group`: no replica of a group
   * that needs the model has it.
   */
  readonly reason: "reach" | "copies" | "demand" | "group";
  /** Requests that wait for the model. */
  readonly waiting?: number;
  /** What it was expected to earn and displace, in replica seconds. */
  readonly worth?: LoadWorth;
}

/** Demand that one waiting request stands for, in replicas kept busy. */
export const WAITING_REQUEST_DEMAND = 0.05;
/** Factor for the demand of a model without a replica: all of it is refused. */
const UNREACHABLE_FACTOR = 2;

/**
 * Plans the next few moves. The needs of groups come first, as running streams
 * wait for them. Models with fewer replicas than `minReplicas` follow, ordered by the demand that one further replica would serve, so that a
 * saturated model gets its copies before a rare one is loaded. Copies follow
 * that relieve busy replicas by more than `minGain`.
 */
export function assemblePlacementPlan(
  input: PlacementInput,
  options: PlacementOptions,
): PlacementMove[] {
  const working = createWorkingState(input);
  const moves: PlacementMove[] = [];
  const remainingMoves = () =>
    options.maxMoves - moves.length - input.pendingMoves.length;
  for (const { model, replicas } of input.groupNeeds ?? []) {
    if (remainingMoves() <= 0) return moves;
    const group = [...working.replicas.values()]
      .filter((report) => replicas.has(report.replica) && !report.leaving);
    if (group.some(({ readyModels }) => readyModels.includes(model))) continue;
    const candidates = group.filter((report) => mayChange(report, input));
    const found = findTarget(model, candidates, {
      input,
      working,
      options: { kvShare: 0 },
    });
    if (found) {
      addMove(moves, { working, target: found, load: model, reason: "group" });
    }
  }
  for (const { model, reason } of findMissingReplicas(working, input)) {
    if (remainingMoves() <= 0) return moves;
    const local = [...working.replicas.values()]
      .filter((report) => mayChange(report, input));
    const kvShare = reason === "reach" ? 0 : options.kvShare;
    const found = findTarget(model, local, {
      input,
      working,
      options: { kvShare },
    });
    if (!found) continue;
    const worth = weighMissingReplica(model, { working, target: found });
    if (!mustLoad(model, { working, target: found, reason })) {
      if (!isWorthItsPrice(worth)) continue;
    }
    addMove(moves, { working, target: found, load: model, reason, worth });
  }
  while (remainingMoves() > 0) {
    const copy = findBestCopy(input, working, options);
    if (copy === undefined) break;
    addMove(moves, { working, ...copy, reason: "demand" });
  }
  return moves;
}

interface MissingReplica {
  readonly model: string;
  readonly reason: "reach" | "copies";
}

/**
 * Lists the replicas that models lack, ranked by the demand that each would
 * serve: the n-th replica of a model ranks by an n-th of the model's demand.
 * Urgent models without a replica come first.
 */
function findMissingReplicas(
  working: WorkingState,
  { urgentModels = [] }: PlacementInput,
): readonly MissingReplica[] {
  const { counts } = working;
  const ranks = new Map(urgentModels.map((model, rank) => [model, rank]));
  const rankOf = ({ model, reason }: MissingReplica) =>
    (reason === "reach" ? ranks.get(model) : undefined) ?? urgentModels.length;
  const missing: (MissingReplica & { servedDemand: number })[] = [];
  for (const model of working.models.values()) {
    const demand = demandOf(model) +
      (model.waitingRequests ?? 0) * WAITING_REQUEST_DEMAND;
    const count = counts.get(model.name) ?? 0;
    for (let existing = count; existing < model.minReplicas; existing += 1) {
      missing.push({
        model: model.name,
        reason: existing === 0 ? "reach" : "copies",
        servedDemand: existing === 0
          ? demand * UNREACHABLE_FACTOR
          : demand / (existing + 1),
      });
    }
  }
  return missing.sort((a, b) =>
    rankOf(a) - rankOf(b) ||
    b.servedDemand - a.servedDemand ||
    Number(a.reason === "copies") - Number(b.reason === "copies")
  );
}

function addMove(
  moves: PlacementMove[],
  { working, target, load, reason, worth }: {
    working: WorkingState;
    target: ModelLoadTarget;
    load: string;
    reason: PlacementMove["reason"];
    worth?: LoadWorth;
  },
): void {
  const { report, unload } = target;
  const waiting = working.models.get(load)?.waitingRequests;
  const move = {
    replica: report.replica,
    load,
    unload,
    reason,
    waiting,
    worth,
  };
  moves.push(move);
  applyMove(working, move);
}

/** What a first or further replica of a model is expected to change. */
function weighMissingReplica(
  name: string,
  { working, target }: { working: WorkingState; target: ModelLoadTarget },
): LoadWorth {
  const model = working.models.get(name)!;
  const copies = working.counts.get(name) ?? 0;
  if (copies === 0) return { earns: lossOfAbsence(model), ...target.cost };
  const demand = lastingDemandOf(model) +
    (model.waitingRequests ?? 0) * WAITING_REQUEST_DEMAND;
  const relief = reliefByCopy(demand, copies);
  return { earns: worthOfRelief(relief), ...target.cost };
}

/**
 * Whether a load isn't weighed: for a model without a replica that requests wait
 * for or that takes no last copy, for replicas that are required, and for all
 * missing ones of a model whose minimum is configured.
 */
function mustLoad(
  name: string,
  { working, target, reason }: {
    working: WorkingState;
    target: ModelLoadTarget;
    reason: MissingReplica["reason"];
  },
): boolean {
  const { counts, models } = working;
  const model = models.get(name)!;
  if (model.requiredReplicas === undefined) return true;
  if (reason === "copies") {
    return (counts.get(name) ?? 0) < model.requiredReplicas;
  }
  return (model.waitingRequests ?? 0) > 0 ||
    target.unload.every((unloaded) => (counts.get(unloaded) ?? 0) > 1);
}
