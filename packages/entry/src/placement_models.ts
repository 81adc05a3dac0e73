import type { ModelDemand } from "@banyanspool/types";
import type { Document } from "@banyanspool/config";
import type { PlacementModel } from "@banyanspool/placement";

const KIB_PER_MIB = 1024;

/** Lists a document's models with the demand for each; 0 if none is given. */
export function listPlacementModels(
  document: Document,
  demand: ReadonlyMap<string, ModelDemand>,
): PlacementModel[] {
  return Object.entries(document.models).map(([name, entry]) => ({
    name,
    weightsMib: entry.weights_mib,
    contextKvMib: Math.ceil(
      entry.kv_kib_per_token * entry.context_tokens / KIB_PER_MIB,
    ),
    minReplicas: entry.min_replicas,
    fastReplicas: demand.get(name)?.fastReplicas ?? 0,
    slowReplicas: demand.get(name)?.slowReplicas ?? 0,
  }));
}
