import type { EngineReport } from "@banyanspool/platform-adapter";
import type { BackendServer } from "@banyanspool/types";

/** What the holder of the placement lease knows of one replica's engine. */
export interface EngineState {
  /** The replica, as last listed. */
  server: BackendServer;
  /** Models there, ready to be asked for. */
  readonly models: Set<string>;
  /** Adapters there or on their way, as `model/adapter`. */
  readonly adapters: Set<string>;
  /** Names that are about to be unloaded and must not be asked for. */
  readonly unloading: Set<string>;
  /** Adapters whose load is planned, as `model/adapter`. */
  readonly plannedAdapters: Set<string>;
  /** When models were loaded by this holder. */
  readonly loadedAt: Map<string, number>;
  /** When this holder first saw it in the list. */
  readonly firstListedAt: number;
  /** Orders that it has accepted. */
  acceptedOrders: number;
  /** Models of which it has a copy at hand, so that a load is quick. */
  localCopies: ReadonlySet<string>;
  /** Whether the state rests on a report of this life that still stands. */
  isSynced: boolean;
  /** When its report was last asked for. */
  reportRequestedAt: number;
  /** Whether a model order is being carried out. */
  isBusy: boolean;
  /** Tail of the orders to this replica, one after the other. */
  lastTask: Promise<void>;
  /** Orders in that line. */
  queuedTasks: number;
}

/** Creates the state of a replica that has not been asked yet. */
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
    acceptedOrders: 0,
    localCopies: new Set(),
    isSynced: false,
    reportRequestedAt: listedAt,
    isBusy: false,
    lastTask: Promise.resolve(),
    queuedTasks: 0,
  };
}

/** Replaces what is known by what the engine itself reports. */
export function applyReport(state: EngineState, report: EngineReport): void {
  state.models.clear();
  state.adapters.clear();
  for (const { name, adapters } of report.models) {
    state.models.add(name);
    for (const adapter of adapters) state.adapters.add(`${name}/${adapter}`);
  }
  for (const adapter of report.arriving) state.adapters.add(adapter);
  state.acceptedOrders = report.acceptedOrders;
  state.localCopies = new Set(report.localCopies);
  state.isBusy = report.busy;
  state.isSynced = true;
}

/** Names that requests may be sent for. */
export function listAvailableNames(state: EngineState): string[] {
  const names = [...state.models, ...state.adapters];
  return names.filter((name) => !state.unloading.has(name));
}
