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

/** Demand for one model or adapter, summed over gateways. */
export interface FleetDemand extends ModelDemand {
  /** Requests that wait for it to become available at a replica. */
  readonly waiting: number;
}

/** Demand added per waiting request, in replicas; ranks awaited models first. */
const REPLICAS_PER_WAITING_REQUEST = 0.01;
/** Share of a replica's time that one model should keep it busy at most. */
const TARGET_BUSY_SHARE = 0.4;

/** Inputs of {@link buildPlacementModels} besides the engine. */
export interface ModelListInput {
  /** Demand of all gateways by `model` or `model/adapter`. */
  readonly demand: ReadonlyMap<string, FleetDemand>;
  /** Reports of the service's replicas. */
  readonly reports: readonly ReplicaReport[];
  /** Adapters that requests in flight use, as `model/adapter`. */
  readonly adaptersInUse: ReadonlySet<string>;
  /** Ids of the replicas that limit their requests. */
  readonly limitedReplicas: ReadonlySet<string>;
  /** Demand expected from the last minutes for a model; 0 for all if absent. */
  readonly longTermDemand?: (model: string) => number;
}

/** Builds the planner's models of one engine, with the demand for each. */
export function buildPlacementModels(
  engine: EngineSpec,
  {
    demand,
    reports,
    adaptersInUse,
    limitedReplicas,
    longTermDemand = () => 0,
  }: ModelListInput,
): PlacementModel[] {
  const requiredAdapters = new Set(adaptersInUse);
  const waiting = new Map<string, number>();
  for (const [name, entry] of demand) {
    const model = name.split("/")[0]!;
    waiting.set(model, (waiting.get(model) ?? 0) + entry.waiting);
    if (entry.waiting > 0 && name !== model) requiredAdapters.add(name);
  }
  const adapterCounts = countByModel(requiredAdapters);
  const residentModels = new Set(
    reports.flatMap(({ readyModels }) => readyModels),
  );
  const remaining = reports.filter(({ leaving }) => !leaving);
  const countFor = (name: string, modelDemand: number) =>
    countNeededReplicas({
      demand: modelDemand,
      adapters: adapterCounts.get(name) ?? 0,
      adapterSlots: engine.adapterSlots,
      replicas: remaining.length,
      limitedCopies: countLimitedCopies(name, {
        reports: remaining,
        limitedReplicas,
        hasWaiting: (waiting.get(name) ?? 0) > 0,
      }),
    });
  const minReplicas = chooseProtectedModels(
    [...engine.models.keys()].map((name) => ({
      name,
      demand: maxDemand(demand.get(name)),
      waitingRequests: waiting.get(name) ?? 0,
      isResident: residentModels.has(name),
      longTermDemand: longTermDemand(name),
      neededReplicas: countFor(name, maxDemand(demand.get(name))),
    })),
    remaining.length * countModelSlots(engine),
  );
  return [...engine.models.values()].map(({ name, weightsMb, modelLoadMs }) => {
    const modelDemand = demand.get(name);
    const fast = (modelDemand?.fastReplicas ?? 0) +
      (waiting.get(name) ?? 0) * REPLICAS_PER_WAITING_REQUEST;
    const slow = modelDemand?.slowReplicas ?? 0;
    return {
      name,
      weightsMib: weightsMb,
      contextKvMib: 0,
      minReplicas: minReplicas.get(name) ?? 0,
      waitingRequests: waiting.get(name),
      fastReplicas: fast,
      slowReplicas: slow,
      longTermReplicas: longTermDemand(name),
      requiredReplicas: countFor(name, 0),
      loadS: modelLoadMs / 1000,
    };
  });
}

/**
 * Counts the copies at replicas that limit their requests, if requests for the
 * model are refused or wait for that, or if another replica has a copy already.
 */
function countLimitedCopies(
  model: string,
  { reports, limitedReplicas, hasWaiting }: {
    reports: readonly ReplicaReport[];
    limitedReplicas: ReadonlySet<string>;
    hasWaiting: boolean;
  },
): number {
  const holders = reports.filter(({ readyModels }) =>
    readyModels.includes(model)
  );
  const limited = holders.filter(({ replica }) => limitedReplicas.has(replica));
  return hasWaiting || limited.length < holders.length ? limited.length : 0;
}

/** Replicas that a model needs, those that limit their requests on top. */
function countNeededReplicas(
  { demand, adapters, adapterSlots, replicas, limitedCopies }: {
    demand: number;
    adapters: number;
    adapterSlots: number;
    replicas: number;
    limitedCopies: number;
  },
): number {
  const needed = Math.max(
    1,
    Math.ceil(demand / TARGET_BUSY_SHARE),
    Math.ceil(adapters / Math.max(1, adapterSlots)),
  );
  return Math.min(needed + limitedCopies, Math.max(1, replicas));
}

function countByModel(adapters: ReadonlySet<string>): Map<string, number> {
  const counts = new Map<string, number>();
  for (const name of adapters) {
    const model = name.split("/")[0]!;
    counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}

function maxDemand(modelDemand: FleetDemand | undefined): number {
  return Math.max(
    modelDemand?.fastReplicas ?? 0,
    modelDemand?.slowReplicas ?? 0,
  );
}

/** Number of models of average size that fit into one replica's memory. */
function countModelSlots(engine: EngineSpec): number {
  let sumMb = 0;
  for (const { weightsMb } of engine.models.values()) sumMb += weightsMb;
  return Math.floor(engine.weightsMb * engine.models.size / sumMb);
}

/** Builds the planner's report of a replica from its engine state. */
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
    sequence: state.acceptedOrderCount,
    readyModels: [...state.models],
    readyAdapters: [...state.adapters],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: engine.slots,
    weightsMib,
    // Memory for the largest adapter in every adapter slot is reserved.
    memoryMib: engine.weightsMb - engine.adapterSlots * adapterMb,
    prefillTokensPerS: 0,
    decodeUsPerToken: 0,
    leaving: server.draining,
  };
}
