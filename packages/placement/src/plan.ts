import type { ReplicaReport } from "@banyanspool/types";
import {
  countReadyReplicas,
  findModelLoadTarget,
  type ModelLoadTarget,
} from "./model_load_target.ts";

/** A model and the demand for it. */
export interface PlacementModel {
  /** Model name. */
  readonly name: string;
  /** Memory of its weights, in MiB. */
  readonly weightsMib: number;
  /** KV cache of one full context, in MiB, without which it is of no use. */
  readonly contextKvMib: number;
  /** Replicas that it should always have; 0 for one that may be unloaded. */
  readonly minReplicas: number;
  /** Replicas that the last half minute's demand would keep busy. */
  readonly fastReplicas: number;
  /** Replicas that the last ten minutes' demand would keep busy. */
  readonly slowReplicas: number;
  /** Requests that wait for it or for one of its adapters; 0 if absent. */
  readonly waiting?: number;
}

/** What a plan is made from. */
export interface PlacementInput {
  /** All models. */
  readonly models: readonly PlacementModel[];
  /** Reports of all replicas of the fleet. */
  readonly replicas: readonly ReplicaReport[];
  /** Data centre whose replicas may change; all if absent. */
  readonly dataCentre?: string;
  /** Moves that are under way and not yet reported. */
  readonly pendingMoves: readonly PlacementMove[];
  /** Models that must stay at a replica for now, as `replica model`. */
  readonly staying?: ReadonlySet<string>;
  /** Requests that use a model at a replica, by `replica model`. */
  readonly inUse?: ReadonlyMap<string, number>;
}

/** Limits and thresholds of a plan. */
export interface PlacementOptions {
  /** Moves in one plan. */
  readonly maxMoves: number;
  /** Share of its capacity at which a replica counts as too busy. */
  readonly busyShare: number;
  /** Part of a replica's memory that copies leave to the KV cache. */
  readonly kvShare: number;
  /** Least drop of the sum of squared busy shares that is worth a load. */
  readonly minGain: number;
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

interface Candidate {
  readonly model: string;
  readonly target: ReplicaReport;
}

interface Working {
  readonly models: ReadonlyMap<string, PlacementModel>;
  readonly replicas: Map<string, ReplicaReport>;
}

/**
 * Plans the next few moves: first the models with fewer replicas than they
 * should have, by how many requests wait for each, those that no replica holds
 * before others; then copies of the model that loads the busiest replica most,
 * where the gain is worth the load.
 */
export function assemblePlacementPlan(
  view: PlacementInput,
  options: PlacementOptions,
): PlacementMove[] {
  const working = createWorking(view);
  const moves: PlacementMove[] = [];
  const room = () => options.maxMoves - moves.length - view.pendingMoves.length;
  for (const { model, reason } of findMissing(working)) {
    if (room() <= 0) return moves;
    const local = [...working.replicas.values()]
      .filter((report) => isLocal(report, view));
    const kvShare = reason === "reach" ? 0 : options.kvShare;
    const found = findRoom(model, local, {
      view,
      working,
      options: { kvShare },
    });
    if (found) addMove(moves, { working, room: found, load: model, reason });
  }
  while (room() > 0) {
    const copy = findWorthyCopy(view, working, options);
    if (copy === undefined) break;
    const found = findRoom(copy.model, [copy.target], {
      view,
      working,
      options,
    });
    addMove(moves, {
      working,
      room: found!,
      load: copy.model,
      reason: "demand",
    });
  }
  return moves;
}

function createWorking(view: PlacementInput): Working {
  const models = new Map(view.models.map((model) => [model.name, model]));
  const replicas = new Map(
    view.replicas.map((report) => [report.replica, report]),
  );
  const working = { models, replicas };
  for (const move of view.pendingMoves) applyMove(working, move);
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
    weightsMib: report.weightsMib - freedMib + loadedMib,
  });
}

interface Missing {
  readonly model: string;
  readonly reason: "reach" | "copies";
}

function findMissing(working: Working): readonly Missing[] {
  const counts = countReadyReplicas([...working.replicas.values()]);
  return [...working.models.values()]
    .map((model) => {
      const count = counts.get(model.name) ?? 0;
      const waitingPart = (model.waiting ?? 0) / (count + 1);
      return { model, count, waitingPart };
    })
    .filter(({ model, count }) => count < model.minReplicas)
    .sort((a, b) =>
      b.waitingPart - a.waitingPart ||
      Math.sign(a.count) - Math.sign(b.count) ||
      demandOf(b.model) - demandOf(a.model)
    )
    .map(({ model, count }) => ({
      model: model.name,
      reason: count === 0 ? "reach" : "copies",
    }));
}

function findRoom(
  model: string,
  among: readonly ReplicaReport[],
  { view, working, options }: {
    view: PlacementInput;
    working: Working;
    options: { readonly kvShare: number };
  },
): ModelLoadTarget | undefined {
  return findModelLoadTarget(model, {
    models: view.models,
    replicas: among,
    readyCounts: countReadyReplicas([...working.replicas.values()]),
    kvShare: options.kvShare,
    staying: view.staying,
    inUse: view.inUse,
  });
}

function addMove(
  moves: PlacementMove[],
  { working, room, load, reason }: {
    working: Working;
    room: ModelLoadTarget;
    load: string;
    reason: PlacementMove["reason"];
  },
): void {
  const { report, unload } = room;
  const move = { replica: report.replica, load, unload, reason };
  moves.push(move);
  applyMove(working, move);
}

/**
 * The copy that takes the most off the sum of squared busy shares, which
 * grows like the waiting time: relief of a busy replica counts for more than
 * the same relief of an idle one.
 */
function findWorthyCopy(
  view: PlacementInput,
  working: Working,
  options: PlacementOptions,
): Candidate | undefined {
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
  const targets = replicas.filter((report) => isLocal(report, view));
  let best: Candidate | undefined;
  let bestGain = options.minGain;
  for (const model of models) {
    const holders = replicas.filter((report) =>
      report.readyModels.includes(model)
    );
    const part = modelShare(model, working, counts);
    const newPart = part * holders.length / (holders.length + 1);
    const relief = sumOf(holders, (report) => {
      const share = shares.get(report)!;
      return share ** 2 - (share - part + newPart) ** 2;
    });
    for (const target of targets) {
      if (holders.includes(target)) continue;
      const share = shares.get(target)!;
      const gain = relief - ((share + newPart) ** 2 - share ** 2);
      if (gain <= bestGain) continue;
      const room = findRoom(model, [target], { view, working, options });
      // What makes way is missed as well.
      if (!room || gain - room.lostDemand <= bestGain) continue;
      bestGain = gain - room.lostDemand;
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
  working: Working,
  counts: ReadonlyMap<string, number>,
): number {
  let share = 0;
  for (const name of report.readyModels) {
    share += modelShare(name, working, counts);
  }
  return share;
}

/** Part of a replica's capacity that one model's demand takes. */
function modelShare(
  name: string,
  working: Working,
  counts: ReadonlyMap<string, number>,
): number {
  const model = working.models.get(name);
  if (!model) return 0;
  return demandOf(model) / Math.max(1, counts.get(name) ?? 1);
}

/** A sudden rise counts at once; a lull counts once it has lasted. */
function demandOf(model: PlacementModel): number {
  return Math.max(model.fastReplicas, model.slowReplicas);
}

function isLocal(report: ReplicaReport, view: PlacementInput): boolean {
  return view.dataCentre === undefined ||
    report.dataCentre === view.dataCentre;
}
