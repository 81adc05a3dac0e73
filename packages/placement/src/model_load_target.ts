import type { ReplicaReport } from "@banyanspool/types";
import {
  type LoadWorth,
  priceOfLoad,
  reliefByCopy,
  worthOfReach,
  worthOfRelief,
} from "./load_worth.ts";
import type { PlacementModel } from "./plan.ts";

/** Input of {@link findModelLoadTarget}. */
export interface ModelLoadTargetInput {
  /** All models, by name. */
  readonly models: ReadonlyMap<string, PlacementModel>;
  /** Replicas that may load the model. */
  readonly replicas: readonly ReplicaReport[];
  /** Number of ready replicas by model; counted from `replicas` if absent. */
  readonly readyReplicaCounts?: ReadonlyMap<string, number>;
  /** Fraction of a replica's memory that must stay free for the KV cache. */
  readonly kvShare: number;
  /** Models that a replica must not unload for now, as `replica model`. */
  readonly keepResident?: ReadonlySet<string>;
  /** Number of requests that use a model at a replica, by `replica model`. */
  readonly inUse?: ReadonlyMap<string, number>;
  /** Models that a replica loads without the weight store, as `replica model`. */
  readonly localCopies?: ReadonlySet<string>;
}

/** A replica that can load the model, perhaps after unloading others. */
export interface ModelLoadTarget {
  /** Report of the replica. */
  readonly report: ReplicaReport;
  /** Models to unload first; each keeps its minimum of ready replicas. */
  readonly unload: readonly string[];
  /** Demand of the copies to unload and of waits for them, in replicas kept busy. */
  readonly displacedDemand: number;
  /** What the load costs and displaces, in replica seconds. */
  readonly cost: Omit<LoadWorth, "earns">;
}

/** Cost of each in-flight request that an unload waits for, in replica seconds. */
const IN_FLIGHT_REQUEST_LOSS = 0.1;
/** Cost of an unload that waits for any request, in replica seconds. */
const IN_USE_LOSS = 1;
/** Cost of an unload, in replica seconds: it delays the load. */
const UNLOAD_LOSS = 0.3;

/** Hysteresis of swaps between models without requests. */
const IDLE_SWAP_FACTOR = 2;
/** Assumed time of a load from the weight store, in s. */
const DEFAULT_LOAD_S = 3;

/**
 * Finds the replica that can load a model at the least loss, in replica seconds:
 * what the absence of models costs whose last copy is unloaded, what other
 * copies save, a cost for each unload and for its wait for requests, the price
 * of the load, and the growth of the sum of squared busy shares over the
 * horizon. A model with no more ready replicas than its minimum is never
 * unloaded.
 */
export function findModelLoadTarget(
  model: string,
  input: ModelLoadTargetInput,
): ModelLoadTarget | undefined {
  const modelsByName = input.models;
  const wantedModel = modelsByName.get(model);
  if (!wantedModel) return undefined;
  const counts = input.readyReplicaCounts ?? countReadyReplicas(input.replicas);
  const share = demandOf(wantedModel) / ((counts.get(model) ?? 0) + 1);
  let best:
    | { target: ModelLoadTarget; loss: number; weightsMib: number }
    | undefined;
  for (const report of input.replicas) {
    if (report.leaving || report.readyModels.includes(model)) continue;
    const requiredMib = computeRequiredMib(wantedModel, report, input.kvShare);
    if (requiredMib > report.memoryMib) continue;
    const { keepResident, inUse } = input;
    const unloads = chooseUnloads(report, {
      requiredMib,
      modelsByName,
      counts,
      mayReplaceLast: createLastCopyRule(wantedModel),
      keepResident,
      inUse,
    });
    if (!unloads) continue;
    const { weightsMib } = report;
    const { unload, displacedDemand, waitLoss, displaces } = unloads;
    const busyShare = sumDemand(report, { modelsByName, counts, unload });
    const isLocal = input.localCopies?.has(`${report.replica} ${model}`) ??
      false;
    const cost = { displaces, price: priceOfLoad({ isLocal }) };
    const growth = (busyShare + share) ** 2 - busyShare ** 2;
    const loss = displaces + waitLoss + unload.length * UNLOAD_LOSS +
      cost.price + worthOfRelief(growth);
    if (best && loss > best.loss) continue;
    // Ties go to the replica with the least weights, so that models spread.
    if (best && loss === best.loss && weightsMib >= best.weightsMib) continue;
    best = {
      target: { report, unload, displacedDemand, cost },
      loss,
      weightsMib,
    };
  }
  return best?.target;
}

/** Counts the ready replicas of each model, without draining replicas. */
export function countReadyReplicas(
  replicas: readonly ReplicaReport[],
): Map<string, number> {
  const counts = new Map<string, number>();
  for (const report of replicas) {
    if (report.leaving) continue;
    for (const model of report.readyModels) {
      counts.set(model, (counts.get(model) ?? 0) + 1);
    }
  }
  return counts;
}

function chooseUnloads(
  report: ReplicaReport,
  {
    requiredMib,
    modelsByName,
    counts,
    mayReplaceLast,
    keepResident,
    inUse,
  }: {
    requiredMib: number;
    modelsByName: ReadonlyMap<string, PlacementModel>;
    counts: ReadonlyMap<string, number>;
    mayReplaceLast: (entry: PlacementModel) => boolean;
    keepResident: ReadonlySet<string> | undefined;
    inUse: ReadonlyMap<string, number> | undefined;
  },
):
  | {
    unload: string[];
    displacedDemand: number;
    waitLoss: number;
    displaces: number;
  }
  | undefined {
  let freeMib = report.memoryMib - report.weightsMib;
  const unload: string[] = [];
  let displacedDemand = 0;
  let waitLoss = 0;
  let displaces = 0;
  const candidates = report.readyModels
    .map((name) => modelsByName.get(name))
    .filter((entry) => entry !== undefined)
    .filter(({ name }) => !keepResident?.has(`${report.replica} ${name}`))
    .filter((entry) => (counts.get(entry.name) ?? 0) > entry.minReplicas)
    .filter((entry) =>
      (counts.get(entry.name) ?? 0) > 1 || mayReplaceLast(entry)
    )
    .map((entry) => {
      const requests = inUse?.get(`${report.replica} ${entry.name}`) ?? 0;
      const wait = (requests > 0 ? IN_USE_LOSS : 0) +
        requests * IN_FLIGHT_REQUEST_LOSS;
      return { entry, wait, worth: worthOfCopy(entry, counts) };
    })
    .sort((a, b) => a.worth + a.wait - b.worth - b.wait);
  for (const { entry, wait, worth } of candidates) {
    if (freeMib >= requiredMib) break;
    freeMib += entry.weightsMib;
    unload.push(entry.name);
    displacedDemand += demandPerReplica(entry, counts) + wait;
    waitLoss += wait;
    displaces += worth;
  }
  if (freeMib < requiredMib) return undefined;
  return { unload, displacedDemand, waitLoss, displaces };
}

/**
 * Returns whether a model may replace the last copy of another one: a model
 * without requests now only if it had far more in the last minutes.
 */
function createLastCopyRule(
  wanted: PlacementModel,
): (entry: PlacementModel) => boolean {
  if (demandOf(wanted) > 0 || (wanted.waitingRequests ?? 0) > 0) {
    return () => true;
  }
  const wantedReplicas = wanted.longTermReplicas ?? 0;
  return ({ longTermReplicas = 0 }) =>
    wantedReplicas > longTermReplicas * IDLE_SWAP_FACTOR;
}

/** What the absence of a model costs, in replica seconds. */
export function lossOfAbsence(entry: PlacementModel): number {
  return worthOfReach({
    replicas: Math.max(entry.longTermReplicas ?? 0, entry.slowReplicas),
    waitingRequests: entry.waitingRequests ?? 0,
    loadS: loadTimeOf(entry),
  });
}

/** Time of a load of a model from the weight store, in s. */
function loadTimeOf({ loadS }: PlacementModel): number {
  return Math.max(0, loadS ?? DEFAULT_LOAD_S);
}

/**
 * What one copy of a model saves, in replica seconds: the absence of the model
 * if it is the last one, else the relief of the others.
 */
function worthOfCopy(
  entry: PlacementModel,
  counts: ReadonlyMap<string, number>,
): number {
  const copies = counts.get(entry.name) ?? 0;
  if (copies <= 1) return lossOfAbsence(entry);
  const relief = reliefByCopy(demandOf(entry), copies - 1);
  return worthOfRelief(relief);
}

/**
 * Memory for the weights and the smallest useful KV cache, in MiB; with less,
 * the model would only take memory from others.
 */
function computeRequiredMib(
  model: PlacementModel,
  report: ReplicaReport,
  kvShare: number,
): number {
  const kvMib = Math.max(model.contextKvMib, report.memoryMib * kvShare);
  return model.weightsMib + kvMib;
}

function demandPerReplica(
  entry: PlacementModel,
  counts: ReadonlyMap<string, number>,
): number {
  return demandOf(entry) / Math.max(1, counts.get(entry.name) ?? 1);
}

/** Demand that a replica serves after its unloads, in replicas kept busy. */
function sumDemand(
  report: ReplicaReport,
  { modelsByName, counts, unload }: {
    modelsByName: ReadonlyMap<string, PlacementModel>;
    counts: ReadonlyMap<string, number>;
    unload: readonly string[];
  },
): number {
  let sum = 0;
  for (const name of report.readyModels) {
    const entry = modelsByName.get(name);
    if (!entry || unload.includes(name)) continue;
    sum += demandPerReplica(entry, counts);
  }
  return sum;
}

/**
 * Demand for a model, in replicas kept busy. The maximum rises with the fast
 * average and falls with the slow one.
 */
export function demandOf(model: PlacementModel): number {
  return Math.max(model.fastReplicas, model.slowReplicas);
}

/**
 * Demand for a model that is expected to last longer than a load, in replicas
 * kept busy. A burst raises the fast average alone, and after its end the slow
 * one alone remains.
 */
export function lastingDemandOf(model: PlacementModel): number {
  return (model.fastReplicas + model.slowReplicas) / 2;
}
