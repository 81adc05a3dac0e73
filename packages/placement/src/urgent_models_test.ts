import test from "ava";
import { assemblePlacementPlan, type PlacementModel } from "./plan.ts";

const OPTIONS = { maxMoves: 4, busyShare: 0.6, minGain: 0.02, kvShare: 0 };

function modelOf(
  name: string,
  demand: number,
  minReplicas: number,
): PlacementModel {
  return {
    name,
    weightsMib: 40,
    contextKvMib: 0,
    minReplicas,
    fastReplicas: demand,
    slowReplicas: demand,
  };
}

function reportOf(replica: string, readyModels: readonly string[]) {
  return {
    replica,
    instance: replica,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "north",
    sequence: 1,
    readyModels,
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 8,
    weightsMib: 40 * readyModels.length,
    memoryMib: 200,
    prefillTokensPerS: 1000,
    decodeUsPerToken: 20_000,
    leaving: false,
  };
}

test("urgent models come first in their order, and only while they have no replica and should have one", (t) => {
  const moves = assemblePlacementPlan({
    models: [
      modelOf("busy", 3, 2),
      modelOf("much", 0.2, 1),
      modelOf("little", 0.1, 1),
      modelOf("unprotected", 0.3, 0),
      modelOf("present", 0.1, 2),
    ],
    replicas: [reportOf("r1", ["busy", "present"]), reportOf("r2", [])],
    pendingMoves: [],
    urgentModels: ["unprotected", "present", "little", "much"],
  }, OPTIONS);
  t.deepEqual(moves.map(({ load }) => load), [
    "little",
    "much",
    "busy",
    "present",
  ]);
});
