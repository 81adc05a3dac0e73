import type { ReplicaReport } from "@banyanspool/types";
import {
  isWorthItsPrice,
  type LoadWorth,
  worthOfRelief,
} from "./load_worth.ts";
import {
  countReadyReplicas,
  demandOf,
  lastingDemandOf,
  type ModelLoadTarget,
} from "./model_load_target.ts";
import type { PlacementInput, PlacementOptions } from "./plan.ts";
import { findTarget, mayChange, type WorkingState } from "./working_state.ts";

/** A copy that relieves busy replicas. */
export interface CopyCandidate {
  readonly load: string;
  readonly target: ModelLoadTarget;
  readonly worth: LoadWorth;
}

/**
 * Finds the copy that reduces the sum of squared busy shares the most. The
 * square grows like the waiting time: relieving a busy replica counts for more
 * than relieving an idle one by as much.
 */
export function findBestCopy(
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
      const wanted = working.models.get(model)!;
      const lastingShare = lastingDemandOf(wanted) / demandOf(wanted);
      const relieved = gain * lastingShare ** 2;
      const earns = worthOfRelief(relieved);
      const worth = { earns, ...loadTarget.cost };
      if (!isWorthItsPrice(worth)) continue;
      bestGain = gain - loadTarget.displacedDemand;
      best = { load: model, target: loadTarget, worth };
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
