import test from "ava";
import { assemblePlacementPlan } from "@banyanspool/placement";
import type { EngineSpec, ReplicaReport } from "@banyanspool/types";
import { buildPlacementModels, type FleetDemand } from "./placement_models.ts";

const NAMES = ["m1", "m2", "m3"];
const ENGINE: EngineSpec = {
  slots: 64,
  kvCapacityTokens: 200_000,
  weightsMb: 220,
  adapterSlots: 2,
  modelLoadsPerS: 1,
  models: new Map(
    NAMES.map((name) => [
      name,
      { name, weightsMb: 70, modelLoadMs: 1000, adapterMb: 1 },
    ]),
  ),
};

function report(replica: string, readyModels: string[]): ReplicaReport {
  return {
    replica,
    instance: replica,
    agentIncarnation: 0,
    address: "127.0.0.1:1",
    dataCentre: "north",
    sequence: 0,
    readyModels,
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 64,
    weightsMib: 70 * readyModels.length,
    memoryMib: 220,
    prefillTokensPerS: 0,
    decodeUsPerToken: 0,
    leaving: false,
  };
}

/** Plans the loads for requests that wait for m1, r1 being limited. */
function planLoads(
  reports: readonly ReplicaReport[],
  { waiting }: { waiting: number },
): string[] {
  const demand = new Map<string, FleetDemand>([
    ["m1", { model: "m1", fastReplicas: 0.1, slowReplicas: 0.1, waiting }],
  ]);
  const limitedReplicas = new Set(["r1"]);
  const moves = assemblePlacementPlan({
    models: buildPlacementModels(ENGINE, {
      demand,
      reports,
      adaptersInUse: new Set(),
      limitedReplicas,
    }),
    replicas: reports.map((entry) =>
      limitedReplicas.has(entry.replica) ? { ...entry, memoryMib: 0 } : entry
    ),
    pendingMoves: [],
  }, { maxMoves: 6, busyShare: 0.25, kvShare: 0, minGain: 0.05 });
  return moves.map(({ replica, load }) => `${load} at ${replica}`);
}

// Callers were refused although another replica had room for their model.
test("requests refused at the only replica with a model, which has a limit, get a copy elsewhere", (t) => {
  const reports = [report("r1", ["m1", "m2"]), report("r2", ["m3"])];
  t.deepEqual(planLoads(reports, { waiting: 3 }), ["m1 at r2"]);
  t.deepEqual(planLoads(reports, { waiting: 0 }), []);
});

test("the copy beside a replica with a limit stays when nobody is refused any more", (t) => {
  const full = [report("r1", ["m1"]), report("r2", ["m1", "m2", "m3"])];
  const limitedReplicas = new Set(["r1"]);
  const [m1] = buildPlacementModels(ENGINE, {
    demand: new Map(),
    reports: full,
    adaptersInUse: new Set(),
    limitedReplicas,
  });
  t.is(m1!.minReplicas, 2);
});

// No model kept a replica where the engines have no adapter slots.
test("models of engines without adapter slots keep a replica each", (t) => {
  const models = buildPlacementModels({ ...ENGINE, adapterSlots: 0 }, {
    demand: new Map(),
    reports: [report("r1", ["m1", "m2"]), report("r2", ["m3"])],
    adaptersInUse: new Set(),
    limitedReplicas: new Set(),
  });
  t.deepEqual(models.map(({ minReplicas }) => minReplicas), [1, 1, 1]);
});
