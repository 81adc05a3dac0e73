import { WAITING_REQUEST_DEMAND } from "@banyanspool/placement";
import type { ReplicaTracker } from "@banyanspool/routing";
import type { BackendServer } from "@banyanspool/types";
import type { FleetDemand } from "../placement_models.ts";

/** Options of {@link findModelsHeldOnly}. */
export interface HeldOnlyOptions {
  /** Replicas of a service. */
  readonly servers: readonly BackendServer[];
  /** Whether nothing may be sent to the replicas of a data centre. */
  readonly isEvacuated: (dataCentre: string) => boolean;
  /** Knows what each replica has. */
  readonly replicaTracker: Pick<ReplicaTracker, "isAvailable">;
}

/**
 * Finds the models that only evacuated data centres hold. Returns the data
 * centres that hold each, in the order of the models.
 */
export function findModelsHeldOnly(
  models: Iterable<string>,
  { servers, isEvacuated, replicaTracker }: HeldOnlyOptions,
): Map<string, Set<string>> {
  const held = new Map<string, Set<string>>();
  const inside = servers.filter(({ dataCentre }) => isEvacuated(dataCentre));
  if (inside.length === 0) return held;
  const outside = servers.filter(({ draining, dataCentre }) =>
    !draining && !isEvacuated(dataCentre)
  );
  for (const model of models) {
    const hasModel = (server: BackendServer) =>
      replicaTracker.isAvailable(server, model);
    const holders = inside.filter(hasModel);
    if (holders.length === 0 || outside.some(hasModel)) continue;
    held.set(model, new Set(holders.map(({ dataCentre }) => dataCentre)));
  }
  return held;
}

/** The models that callers ask for, the most wanted first. */
export function listWantedModels(
  models: Iterable<string>,
  demand: ReadonlyMap<string, FleetDemand>,
): string[] {
  const wanted = new Map([...models].map((model) => [model, 0]));
  for (const [name, entry] of demand) {
    const model = name.split("/")[0]!;
    const before = wanted.get(model);
    if (before !== undefined) wanted.set(model, before + valueOf(entry));
  }
  return [...wanted]
    .filter(([, value]) => value > 0)
    .sort(([, a], [, b]) => b - a)
    .map(([name]) => name);
}

function valueOf({ fastReplicas, slowReplicas, waiting }: FleetDemand): number {
  return Math.max(fastReplicas, slowReplicas) +
    waiting * WAITING_REQUEST_DEMAND;
}
