/**
 * Soak tests: inject seeded faults into gateway processes under load and check
 * the system's invariants from what callers and replicas observe.
 *
 * @module
 */
export { runSeed } from "./run_seed.ts";
export type { RunOptions, SeedResult } from "./run_seed.ts";
export { drawSchedule } from "./schedule.ts";
export type {
  FaultKind,
  FaultStep,
  LinkFault,
  ScheduleOptions,
} from "./schedule.ts";
export type { InjectedFault } from "./injected_fault.ts";
export { InvariantChecker } from "./invariant_checker.ts";
export type {
  InvariantBounds,
  SentRequest,
  Violation,
} from "./invariant_checker.ts";
