/** Faults that are planted on purpose, to see that a run finds them. */
export type InjectedFault = "runTwice" | "passKeyOn" | "oldConfiguration";

/** Environment variable that names the planted fault. */
export const INJECTED_FAULT_VARIABLE = "BANYANSPOOL_SOAK_PLANTED";
