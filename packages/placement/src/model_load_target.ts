import type { ReplicaReport } from "@banyanspool/types";
import type { PlacementModel } from "./plan.ts";

/** What is known when room for one model is looked for. */
export interface ModelLoadTargetInput {
  /** All models. */
  readonly models: readonly PlacementModel[];
  /** Replicas that may load it. */
  readonly replicas: readonly ReplicaReport[];
  /** Replicas that hold each model in the whole fleet; counted if absent. */
  readonly readyCounts?: ReadonlyMap<string, number>;
  /** Part of a replica's memory that must stay for the KV cache. */
  readonly kvShare: number;
  /** Models that must stay at a replica for now, as `replica model`. */
  readonly staying?: ReadonlySet<string>;
  /** Requests that use a model at a replica, by `replica model`. */
  readonly inUse?: ReadonlyMap<string, number>;
}

/** A replica with room, perhaps after unloading. */
export interface ModelLoadTarget {
  /** Replica that can load the model. */
  readonly report: ReplicaReport;
  /** Models to unload first, each of which is ready elsewhere too. */
  readonly unload: readonly string[];
  /** Demand that the unloaded copies serve now, in replicas. */
  readonly lostDemand: number;
}

/** What each request that an unload must wait for counts, in replicas. */
const IN_USE_LOSS = 0.1;

/**
 * Finds the replica that can take a model at the least loss: one with free
 * memory if there is any, else the one that must unload the least demand.
 * Models without another ready replica are never chosen for unloading.
 */
export function findModelLoadTarget(
  model: string,
  view: ModelLoadTargetInput,
): ModelLoadTarget | undefined {
  const byName = new Map(view.models.map((entry) => [entry.name, entry]));
  const wanted = byName.get(model);
  if (!wanted) return undefined;
  const counts = view.readyCounts ?? countReadyReplicas(view.replicas);
  let best:
    | { room: ModelLoadTarget; loss: number; weightsMib: number }
    | undefined;
  for (const report of view.replicas) {
    if (report.leaving || report.readyModels.includes(model)) continue;
    const needed = neededMib(wanted, report, view.kvShare);
    if (needed > report.memoryMib) continue;
    const { staying, inUse } = view;
    const choice = chooseUnloads(report, {
      needed,
      byName,
      counts,
      staying,
      inUse,
    });
    if (!choice) continue;
    const { weightsMib } = report;
    if (best && choice.loss > best.loss) continue;
    // Among equals the emptiest one, so that models spread over the replicas.
    const isEqual = best && choice.loss === best.loss;
    if (isEqual && weightsMib >= best!.weightsMib) continue;
    const { unload, lostDemand } = choice;
    const room = { report, unload, lostDemand };
    best = { room, loss: choice.loss, weightsMib };
  }
  return best?.room;
}

/** Counts the ready replicas of each model. */
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
  { needed, byName, counts, staying, inUse }: {
    needed: number;
    byName: ReadonlyMap<string, PlacementModel>;
    counts: ReadonlyMap<string, number>;
    staying: ReadonlySet<string> | undefined;
    inUse: ReadonlyMap<string, number> | undefined;
  },
): { unload: string[]; loss: number; lostDemand: number } | undefined {
  let freeMib = report.memoryMib - report.weightsMib;
  const unload: string[] = [];
  let lostDemand = 0;
  const candidates = report.readyModels
    .map((name) => byName.get(name))
    .filter((entry) => entry !== undefined)
    .filter(({ name }) => !staying?.has(`${report.replica} ${name}`))
    .filter((entry) => (counts.get(entry.name) ?? 0) > entry.minReplicas)
    .map((entry) => {
      const requests = inUse?.get(`${report.replica} ${entry.name}`) ?? 0;
      const demand = demandPerReplica(entry, counts) +
        requests * IN_USE_LOSS;
      return { entry, demand };
    })
    .sort((a, b) => a.demand - b.demand);
  for (const { entry, demand } of candidates) {
    if (freeMib >= needed) break;
    freeMib += entry.weightsMib;
    unload.push(entry.name);
    lostDemand += demand;
  }
  if (freeMib < needed) return undefined;
  return { unload, lostDemand, loss: unload.length + lostDemand };
}

/** Weights, and KV memory without which the model would only crowd others. */
function neededMib(
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
  const demand = Math.max(entry.fastReplicas, entry.slowReplicas);
  return demand / Math.max(1, counts.get(entry.name) ?? 1);
}
