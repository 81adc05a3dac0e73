import type { ReplicaReport } from "@banyanspool/types";
import type { PlacementModel } from "./plan.ts";

/** What is known when room for one model is looked for. */
export interface RoomView {
  /** All models. */
  readonly models: readonly PlacementModel[];
  /** Replicas that may load it. */
  readonly replicas: readonly ReplicaReport[];
  /** Replicas that hold each model in the whole fleet; counted if absent. */
  readonly readyCounts?: ReadonlyMap<string, number>;
}

/** A replica with room, perhaps after unloading. */
export interface Room {
  /** Replica that can load the model. */
  readonly report: ReplicaReport;
  /** Models to unload first, each of which is ready elsewhere too. */
  readonly unload: readonly string[];
}

/**
 * Finds the replica that can take a model at the least loss: one with free
 * memory if there is any, else the one that must unload the least demand.
 * Models without another ready replica are never chosen for unloading.
 */
export function findRoomFor(model: string, view: RoomView): Room | undefined {
  const byName = new Map(view.models.map((entry) => [entry.name, entry]));
  const wanted = byName.get(model);
  if (!wanted) return undefined;
  const counts = view.readyCounts ?? countReady(view.replicas);
  let best: { room: Room; loss: number; load: number } | undefined;
  for (const report of view.replicas) {
    if (report.leaving || report.readyModels.includes(model)) continue;
    if (neededMib(wanted) > report.memoryMib) continue;
    const choice = chooseUnloads(report, { wanted, byName, counts });
    if (!choice) continue;
    const load = report.queuedTokens + report.running;
    if (best && choice.loss > best.loss) continue;
    if (best && choice.loss === best.loss && load >= best.load) continue;
    const room = { report, unload: choice.unload };
    best = { room, loss: choice.loss, load };
  }
  return best?.room;
}

/** Counts the ready replicas of each model. */
export function countReady(
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
  { wanted, byName, counts }: {
    wanted: PlacementModel;
    byName: ReadonlyMap<string, PlacementModel>;
    counts: ReadonlyMap<string, number>;
  },
): { unload: string[]; loss: number } | undefined {
  let freeMib = report.freeMib;
  const unload: string[] = [];
  let loss = 0;
  const candidates = report.readyModels
    .map((name) => byName.get(name))
    .filter((entry) => entry !== undefined)
    .filter((entry) => (counts.get(entry.name) ?? 0) > entry.minReplicas)
    .map((entry) => ({ entry, demand: demandPerReplica(entry, counts) }))
    .sort((a, b) => a.demand - b.demand);
  for (const { entry, demand } of candidates) {
    if (freeMib >= neededMib(wanted)) break;
    freeMib += entry.weightsMib;
    unload.push(entry.name);
    loss += 1 + demand;
  }
  return freeMib >= neededMib(wanted) ? { unload, loss } : undefined;
}

function neededMib(model: PlacementModel): number {
  return model.weightsMib + model.contextKvMib;
}

function demandPerReplica(
  entry: PlacementModel,
  counts: ReadonlyMap<string, number>,
): number {
  const demand = Math.max(entry.fastTokensPerS, entry.slowTokensPerS);
  return demand / Math.max(1, counts.get(entry.name) ?? 1);
}
