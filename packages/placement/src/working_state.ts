import {
  countReadyReplicas,
  findModelLoadTarget,
  type ModelLoadTarget,
} from "./model_load_target.ts";
import type { ReplicaReport } from "@banyanspool/types";
import type { PlacementInput, PlacementModel, PlacementMove } from "./plan.ts";

/** Replicas as they will be after the moves planned so far. */
export interface WorkingState {
  readonly models: ReadonlyMap<string, PlacementModel>;
  readonly replicas: Map<string, ReplicaReport>;
  /** Number of ready replicas by model. */
  counts: ReadonlyMap<string, number>;
}

/** Creates the state after all pending moves. */
export function createWorkingState(input: PlacementInput): WorkingState {
  const models = new Map(input.models.map((model) => [model.name, model]));
  const replicas = new Map(
    input.replicas.map((report) => [report.replica, report]),
  );
  const counts = countReadyReplicas([...replicas.values()]);
  const working = { models, replicas, counts };
  for (const move of input.pendingMoves) applyMove(working, move);
  return working;
}

/** Changes the state as a move will. */
export function applyMove(working: WorkingState, move: PlacementMove): void {
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

/** Finds the replica of the candidates that can load a model at the least loss. */
export function findTarget(
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

/** Whether the plan is for the data centre of a replica. */
export function mayChange(
  report: ReplicaReport,
  input: PlacementInput,
): boolean {
  return input.dataCentre === undefined ||
    report.dataCentre === input.dataCentre;
}
