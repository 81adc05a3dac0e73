/** Defects that are injected into gateways to check that a run detects them. */
export type InjectedFault =
  | "runTwice"
  | "passKeyOn"
  | "oldConfiguration"
  /** Changes of the configuration are learnt by waiting for them alone. */
  | "waitsOnly"
  /** Streams go on at replicas of any software version. */
  | "ignoreVersion"
  /** A gateway takes its own guess for the version that began a stream. */
  | "guessVersion"
  /** What is read from the store is ordered by versions alone. */
  | "versionAlone"
  /** Fencing tokens are counted by the lease's row alone. */
  | "fenceFromStore"
  /** Both: a restore of the store isn't noticed. */
  | "ignoreEpoch"
  /** Each gateway keeps the limit of a replica on its own. */
  | "issueAlone"
  /** Each gateway keeps the rate of an organisation on its own. */
  | "countAlone"
  /** Repeats of a request count as requests of their own. */
  | "forgetRepeats"
  /** What a replica says of its leaving is ignored. */
  | "ignoreLeaving"
  /** The time for which a replica turns requests away is ignored. */
  | "ignorePause"
  /** What comes on a connection is taken for the answer that is waited for. */
  | "trustResponses";

/** Environment variable that passes an injected defect to a gateway. */
export const INJECTED_FAULT_VARIABLE = "BANYANSPOOL_SOAK_PLANTED";
