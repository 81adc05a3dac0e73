import type { ReplicaReport } from "@banyanspool/types";
import {
  countReadyReplicas,
  demandOf,
  findModelLoadTarget,
  type ModelLoadTarget,
} from "./model_load_target.ts";

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
}

interface CopyCandidate {
  readonly model: string;
  readonly target: ReplicaReport;
}

interface WorkingState {
  readonly models: ReadonlyMap<string, PlacementModel>;
  readonly replicas: Map<string, ReplicaReport>;
  /** Number of ready replicas by model. */
  counts: ReadonlyMap<string, number>;
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
    if (found) addMove(moves, { working, target: found, load: model, reason });
  }
  while (remainingMoves() > 0) {
    const copy = findBestCopy(input, working, options);
    if (copy === undefined) break;
    const found = findTarget(copy.model, [copy.target], {
      input,
      working,
      options,
    });
    addMove(moves, {
      working,
      target: found!,
      load: copy.model,
      reason: "demand",
    });
  }
  return moves;
}

function createWorkingState(input: PlacementInput): WorkingState {
  const models = new Map(input.models.map((model) => [model.name, model]));
  const replicas = new Map(
    input.replicas.map((report) => [report.replica, report]),
  );
  const counts = countReadyReplicas([...replicas.values()]);
  const working = { models, replicas, counts };
  for (const move of input.pendingMoves) applyMove(working, move);
  return working;
}

function applyMove(working: WorkingState, move: PlacementMove): void {
  const report = working.replicas.get(move.replica);
  if (!report || report.readyModels.includes(move.load)) return;
  const gone = report.readyModels.filter((name) => move.unload.includes(name));
  const freedMib = gone.reduce(
    (sum, name) => sum + (working.models.get(name)?.weightsMib ?? 0),
    0,
  );
  const loadedMib = working.models.get(move.load)?.weightsMib ?? 0;
  working.replicas.set(move.replica, {
    ...report,
    readyModels: [
      ...report.readyModels.filter((name) => !gone.includes(name)),
      move.load,
    ],
    weightsMib: report.weightsMib - freedMib + loadedMib,
  });
  working.counts = countReadyReplicas([...working.replicas.values()]);
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

function findTarget(
  model: string,
  candidates: readonly ReplicaReport[],
  { input, working, options }: {
    input: PlacementInput;
    working: WorkingState;
    options: { readonly kvShare: number };
  },
): ModelLoadTarget | undefined {
  return findModelLoadTarget(model, {
    models: working.models,
    replicas: candidates,
    readyReplicaCounts: working.counts,
    kvShare: options.kvShare,
    keepResident: input.keepResident,
    inUse: input.inUse,
    localCopies: input.localCopies,
  });
}

function addMove(
  moves: PlacementMove[],
  { working, target, load, reason }: {
    working: WorkingState;
    target: ModelLoadTarget;
    load: string;
    reason: PlacementMove["reason"];
  },
): void {
  const { report, unload } = target;
  const move = { replica: report.replica, load, unload, reason };
  moves.push(move);
  applyMove(working, move);
}

/**
 * Finds the copy that reduces the sum of squared busy shares the most. The
 * square grows like the waiting time: relieving a busy replica counts for more
 * than relieving an idle one by as much.
 */
function findBestCopy(
  input: PlacementInput,
  working: WorkingState,
  options: PlacementOptions,
): CopyCandidate | undefined {
  const replicas = [...working.replicas.values()]
    .filter(({ leaving }) => !leaving);
  const counts = countReadyReplicas(replicas);
  const shares = new Map(
    replicas.map((report) => [report, busyShare(report, working, counts)]),
  );
  const busy = replicas.filter((report) =>
    shares.get(report)! >= options.busyShare
  );
  const models = new Set(busy.flatMap(({ readyModels }) => readyModels));
  const targets = replicas.filter((report) => mayChange(report, input));
  let best: CopyCandidate | undefined;
  let bestGain = options.minGain;
  for (const model of models) {
    const holders = replicas.filter((report) =>
      report.readyModels.includes(model)
    );
    const part = modelShare(model, working, counts);
    const partAfterCopy = part * holders.length / (holders.length + 1);
    const relief = sumOf(holders, (report) => {
      const share = shares.get(report)!;
      return share ** 2 - (share - part + partAfterCopy) ** 2;
    });
    for (const target of targets) {
      if (holders.includes(target)) continue;
      const share = shares.get(target)!;
      const gain = relief - ((share + partAfterCopy) ** 2 - share ** 2);
      if (gain <= bestGain) continue;
      const loadTarget = findTarget(model, [target], {
        input,
        working,
        options,
      });
      // Unloads at the target displace demand, which reduces the gain.
      if (!loadTarget || gain - loadTarget.displacedDemand <= bestGain) {
        continue;
      }
      bestGain = gain - loadTarget.displacedDemand;
      best = { model, target };
    }
  }
  return best;
}

function sumOf<T>(items: readonly T[], value: (item: T) => number): number {
  return items.reduce((sum, item) => sum + value(item), 0);
}

function busyShare(
  report: ReplicaReport,
  working: WorkingState,
  counts: ReadonlyMap<string, number>,
): number {
  let share = 0;
  for (const name of report.readyModels) {
    share += modelShare(name, working, counts);
  }
  return share;
}

/** Fraction of a replica's capacity that one model's demand takes. */
function modelShare(
  name: string,
  working: WorkingState,
  counts: ReadonlyMap<string, number>,
): number {
  const model = working.models.get(name);
  if (!model) return 0;
  return demandOf(model) / Math.max(1, counts.get(name) ?? 1);
}

function mayChange(report: ReplicaReport, input: PlacementInput): boolean {
  return input.dataCentre === undefined ||
    report.dataCentre === input.dataCentre;
}
