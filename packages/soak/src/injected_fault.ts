/** Defects that are injected into gateways to check that a run detects them. */
export type InjectedFault =
  | "runTwice"
  | "passKeyOn"
  | "oldConfiguration"
  /** Streams go on at replicas of any software version. */
  | "ignoreVersion"
  /** A gateway takes its own guess for the version that began a stream. */
  | "guessVersion";

/** Environment variable that passes an injected defect to a gateway. */
export const INJECTED_FAULT_VARIABLE = "BANYANSPOOL_SOAK_PLANTED";
