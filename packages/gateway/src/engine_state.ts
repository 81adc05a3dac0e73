import type { EngineReport } from "@banyanspool/platform-adapter";
import type { BackendServer } from "@banyanspool/types";

/** State of one replica's engine as the placement lease holder last read it. */
export interface EngineState {
  /** The replica's row in the replica list, as last read. */
  server: BackendServer;
  /** Resident models that accept requests. */
  readonly models: Set<string>;
  /** Resident adapters and those being loaded, as `model/adapter`. */
  readonly adapters: Set<string>;
  /** Models and adapters about to be unloaded; no requests are routed to them. */
  readonly unloading: Set<string>;
  /** Adapters whose load is queued or in progress, as `model/adapter`. */
  readonly plannedAdapters: Set<string>;
  /** When this lease holder loaded each model, by model name. */
  readonly loadedAt: Map<string, number>;
  /** When this lease holder first saw the replica in the list. */
  readonly firstListedAt: number;
  /** Number of orders that the replica has accepted since it started. */
  acceptedOrderCount: number;
  /** Models whose weights the replica has a local copy of; they load quickly. */
  localCopies: ReadonlySet<string>;
  /**
   * Whether the state is from a report of this run of the replica, and the
   * replica hasn't been lost since.
   */
  isSynced: boolean;
  /** Whether several reports in a row could not be read. */
  isLost: boolean;
  /** When the report was last requested. */
  reportRequestedAt: number;
  /** Whether the engine is loading or unloading a model. */
  isBusy: boolean;
  /** Nothing is planned for the engine before, as it refused orders. */
  refusedUntil: number;
  /** Number of orders refused or left unanswered in a row. */
  refusals: number;
  /** Settles when the last task queued for this replica has ended. */
  lastTask: Promise<void>;
  /** Number of queued tasks, including the running one. */
  queuedTasks: number;
}

/** Creates the state of a replica whose report has not been read yet. */
export function createEngineState(
  server: BackendServer,
  listedAt: number,
): EngineState {
  return {
    server,
    models: new Set(),
    adapters: new Set(),
    unloading: new Set(),
    plannedAdapters: new Set(),
    loadedAt: new Map(),
    firstListedAt: listedAt,
    acceptedOrderCount: 0,
    localCopies: new Set(),
    isSynced: false,
    isLost: false,
    reportRequestedAt: listedAt,
    isBusy: false,
    refusedUntil: -Infinity,
    refusals: 0,
    lastTask: Promise.resolve(),
    queuedTasks: 0,
  };
}

/** Replaces models, adapters and order count by those of a report. */
export function applyReport(state: EngineState, report: EngineReport): void {
  state.models.clear();
  state.adapters.clear();
  for (const { name, adapters } of report.models) {
    state.models.add(name);
    for (const adapter of adapters) state.adapters.add(`${name}/${adapter}`);
  }
  for (const adapter of report.loadingAdapters) state.adapters.add(adapter);
  state.acceptedOrderCount = report.acceptedOrderCount;
  state.localCopies = new Set(report.localCopies);
  state.isBusy = report.busy;
  state.isSynced = true;
  state.isLost = false;
}

/**
 * Names that requests may be routed for: resident models, and adapters that are
 * resident or being loaded, without those about to be unloaded.
 */
export function listAvailableNames(state: EngineState): string[] {
  const names = [...state.models, ...state.adapters];
  return names.filter((name) => !state.unloading.has(name));
}
