/** Defects that are injected into gateways to check that a run detects them. */
export type InjectedFault = "runTwice" | "passKeyOn" | "oldConfiguration";

/** Environment variable that passes an injected defect to a gateway. */
export const INJECTED_FAULT_VARIABLE = "BANYANSPOOL_SOAK_PLANTED";
