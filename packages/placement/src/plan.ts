import type { ReplicaReport } from "@banyanspool/types";
import { countReady, findRoomFor } from "./room.ts";

/** A model and the demand for it. */
export interface PlacementModel {
  /** Model name. */
  readonly name: string;
  /** Memory of its weights, in MiB. */
  readonly weightsMib: number;
  /** KV cache of one full context, in MiB, without which it is of no use. */
  readonly contextKvMib: number;
  /** Replicas that it should always have. */
  readonly minReplicas: number;
  /** Demand over about half a minute, in the whole fleet. */
  readonly fastTokensPerS: number;
  /** Demand over about ten minutes, in the whole fleet. */
  readonly slowTokensPerS: number;
}

/** What a plan is made from. */
export interface PlacementView {
  /** All models. */
  readonly models: readonly PlacementModel[];
  /** Reports of all replicas of the fleet. */
  readonly replicas: readonly ReplicaReport[];
  /** Data centre whose replicas may change; all if absent. */
  readonly dataCentre?: string;
  /** Moves that are under way and not yet reported. */
  readonly underWay: readonly PlacementMove[];
}

/** Limits and thresholds of a plan. */
export interface PlacementOptions {
  /** Moves in one plan. */
  readonly maxMoves: number;
  /** Share of its capacity at which a replica counts as too busy. */
  readonly busyShare: number;
  /** Least drop of the busiest replica's share that is worth a load. */
  readonly minGainShare: number;
}

/** One model to load at a replica, after unloading others. */
export interface PlacementMove {
  /** Replica that loads. */
  readonly replica: string;
  /** Model to load. */
  readonly load: string;
  /** Models to unload first. */
  readonly unload: readonly string[];
  /** Why: reach comes before copies, copies before demand. */
  readonly reason: "reach" | "copies" | "demand";
}

interface Working {
  readonly models: ReadonlyMap<string, PlacementModel>;
  readonly replicas: Map<string, ReplicaReport>;
}

/**
 * Plans the next few moves: first models that no replica holds, then those
 * with fewer copies than wanted, then copies of the model that loads the
 * busiest replica most, where the gain is worth the load.
 */
export function assemblePlacementPlan(
  view: PlacementView,
  options: PlacementOptions,
): PlacementMove[] {
  const working = createWorking(view);
  const moves: PlacementMove[] = [];
  const room = () => options.maxMoves - moves.length - view.underWay.length;
  for (const reason of ["reach", "copies"] as const) {
    for (const model of findMissing(working, reason)) {
      if (room() <= 0) return moves;
      addMove(moves, model, { reason, view, working });
    }
  }
  while (room() > 0) {
    const model = findWorthyCopy(view, working, options);
    if (model === undefined) break;
    if (!addMove(moves, model, { reason: "demand", view, working })) break;
  }
  return moves;
}

function createWorking(view: PlacementView): Working {
  const models = new Map(view.models.map((model) => [model.name, model]));
  const replicas = new Map(
    view.replicas.map((report) => [report.replica, report]),
  );
  const working = { models, replicas };
  for (const move of view.underWay) applyMove(working, move);
  return working;
}

function applyMove(working: Working, move: PlacementMove): void {
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
    freeMib: report.freeMib + freedMib - loadedMib,
  });
}

function findMissing(
  working: Working,
  reason: "reach" | "copies",
): readonly string[] {
  const counts = countReady([...working.replicas.values()]);
  return [...working.models.values()]
    .filter((model) => {
      const count = counts.get(model.name) ?? 0;
      return reason === "reach" ? count === 0 : count < model.minReplicas;
    })
    .sort((a, b) => demandOf(b) - demandOf(a))
    .map((model) => model.name);
}

function addMove(
  moves: PlacementMove[],
  model: string,
  { reason, view, working }: {
    reason: PlacementMove["reason"];
    view: PlacementView;
    working: Working;
  },
): boolean {
  const replicas = [...working.replicas.values()];
  const room = findRoomFor(model, {
    models: view.models,
    replicas: replicas.filter((report) => isLocal(report, view)),
    readyCounts: countReady(replicas),
  });
  if (!room) return false;
  const { report, unload } = room;
  const move = { replica: report.replica, load: model, unload, reason };
  moves.push(move);
  applyMove(working, move);
  return true;
}

/** The model whose copy would relieve the busiest replica enough. */
function findWorthyCopy(
  view: PlacementView,
  working: Working,
  options: PlacementOptions,
): string | undefined {
  const replicas = [...working.replicas.values()];
  const counts = countReady(replicas);
  const shares = new Map(
    replicas.map((report) => [report, busyShare(report, working, counts)]),
  );
  const local = replicas.filter((report) =>
    isLocal(report, view) && !report.leaving
  );
  local.sort((a, b) => shares.get(b)! - shares.get(a)!);
  const [busiest] = local;
  if (!busiest || shares.get(busiest)! < options.busyShare) return undefined;
  const least = Math.min(...local.map((report) => shares.get(report)!));
  let best: string | undefined;
  let bestGain = options.minGainShare;
  for (const name of busiest.readyModels) {
    const part = modelShare(name, busiest, working, counts);
    const count = counts.get(name) ?? 1;
    const relief = part / (count + 1);
    const gain = Math.min(relief, shares.get(busiest)! - least - relief);
    if (gain <= bestGain) continue;
    bestGain = gain;
    best = name;
  }
  return best;
}

function busyShare(
  report: ReplicaReport,
  working: Working,
  counts: ReadonlyMap<string, number>,
): number {
  let share = 0;
  for (const name of report.readyModels) {
    share += modelShare(name, report, working, counts);
  }
  return share;
}

/** Part of a replica's capacity that one model's demand takes. */
function modelShare(
  name: string,
  report: ReplicaReport,
  working: Working,
  counts: ReadonlyMap<string, number>,
): number {
  const model = working.models.get(name);
  if (!model) return 0;
  const perReplica = demandOf(model) / Math.max(1, counts.get(name) ?? 1);
  return perReplica / Math.max(1, report.prefillTokensPerS);
}

/** A sudden rise counts at once; a lull counts once it has lasted. */
function demandOf(model: PlacementModel): number {
  return Math.max(model.fastTokensPerS, model.slowTokensPerS);
}

function isLocal(report: ReplicaReport, view: PlacementView): boolean {
  return view.dataCentre === undefined ||
    report.dataCentre === view.dataCentre;
}
