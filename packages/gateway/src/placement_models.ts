import {
  chooseProtectedModels,
  type PlacementModel,
} from "@banyanspool/placement";
import type {
  EngineSpec,
  ModelDemand,
  ReplicaReport,
} from "@banyanspool/types";
import type { EngineState } from "./engine_state.ts";

/** Demand of one model or adapter over all gateways. */
export interface FleetDemand extends ModelDemand {
  /** Requests that wait because no replica holds it. */
  readonly waiting: number;
}

/** Puts models that requests wait for before others, in replicas. */
const WAITING_REPLICAS = 0.01;

/** What is known when an engine's models are listed. */
export interface ModelListInput {
  /** Demand by `model` or `model/adapter`. */
  readonly demand: ReadonlyMap<string, FleetDemand>;
  /** What replicas hold. */
  readonly reports: readonly ReplicaReport[];
  /** Adapters that requests in flight use, as `model/adapter`. */
  readonly adaptersInUse: ReadonlySet<string>;
}

/** Lists an engine's models for the plan, with the demand for each. */
export function buildPlacementModels(
  engine: EngineSpec,
  { demand, reports, adaptersInUse }: ModelListInput,
): PlacementModel[] {
  const wantedAdapters = new Set(adaptersInUse);
  const waiting = new Map<string, number>();
  for (const [name, entry] of demand) {
    const model = name.split("/")[0]!;
    waiting.set(model, (waiting.get(model) ?? 0) + entry.waiting);
    if (entry.waiting > 0 && name !== model) wantedAdapters.add(name);
  }
  const adapterCounts = countByModel(wantedAdapters);
  const held = new Set(reports.flatMap(({ readyModels }) => readyModels));
  const staying = reports.filter(({ leaving }) => !leaving);
  const wantedReplicas = chooseProtectedModels(
    [...engine.models.keys()].map((name) => ({
      name,
      demand: demandOf(demand.get(name)),
      waiting: waiting.get(name) ?? 0,
      isResident: held.has(name),
      copies: Math.max(
        1,
        Math.ceil((adapterCounts.get(name) ?? 0) / engine.adapterSlots),
      ),
    })),
    staying.length * countPlaces(engine),
  );
  return [...engine.models.values()].map(({ name, weightsMb }) => {
    const asked = demand.get(name);
    const fast = (asked?.fastReplicas ?? 0) +
      (waiting.get(name) ?? 0) * WAITING_REPLICAS;
    const slow = asked?.slowReplicas ?? 0;
    return {
      name,
      weightsMib: weightsMb,
      contextKvMib: 0,
      minReplicas: wantedReplicas.get(name) ?? 0,
      waiting: waiting.get(name),
      fastReplicas: fast,
      slowReplicas: slow,
    };
  });
}

function countByModel(adapters: ReadonlySet<string>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of adapters) {
    const model = name.split("/")[0]!;
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

function demandOf(asked: FleetDemand | undefined): number {
  return Math.max(asked?.fastReplicas ?? 0, asked?.slowReplicas ?? 0);
}

/** Models of the average size that one replica holds. */
function countPlaces(engine: EngineSpec): number {
  let sumMb = 0;
  for (const { weightsMb } of engine.models.values()) sumMb += weightsMb;
  return Math.floor(engine.weightsMb * engine.models.size / sumMb);
}

/** Describes an engine for the plan. */
export function buildReplicaReport(
  state: EngineState,
  engine: EngineSpec,
): ReplicaReport {
  const { server } = state;
  let weightsMib = 0;
  for (const name of state.models) {
    weightsMib += engine.models.get(name)?.weightsMb ?? 0;
  }
  let adapterMb = 0;
  for (const model of engine.models.values()) {
    adapterMb = Math.max(adapterMb, model.adapterMb);
  }
  return {
    replica: server.id,
    instance: server.id,
    agentIncarnation: 0,
    address: server.address,
    dataCentre: server.dataCentre,
    sequence: state.acceptedOrders,
    readyModels: [...state.models],
    readyAdapters: [...state.adapters],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: engine.slots,
    weightsMib,
    // Room for all adapters is kept free.
    memoryMib: engine.weightsMb - engine.adapterSlots * adapterMb,
    prefillTokensPerS: 0,
    decodeUsPerToken: 0,
    leaving: server.leaving,
  };
}
