import type { InjectedFault } from "./injected_fault.ts";
import type { FaultStep } from "./schedule.ts";
import { REPLICA_SERVICES } from "./soak_fleet.ts";

type Step = Pick<FaultStep, "atMs" | "durationMs" | "kind" | "target">;

/** Time of a restore of the store, after what it loses. */
const RESTORE_MS = 6000;

/** A drain long after the restore, when gateways have had no faults for long. */
const DRAIN_AFTER_RESTORE: Step = {
  atMs: RESTORE_MS + 4000,
  durationMs: 6000,
  kind: "replicaDrain",
  target: 0,
};

/** Both gateways are stopped in turn, so that the lease changes hands. */
const HOLDER_CHANGES: readonly Step[] = [
  { atMs: 0, durationMs: RESTORE_MS, kind: "storeRestored", target: 0 },
  { atMs: 500, durationMs: 0, kind: "stop", target: 0 },
  { atMs: 3000, durationMs: 0, kind: "stop", target: 1 },
];

/** Both replicas of a service, so that no other one takes their requests. */
const LIMITS_OF_A_SERVICE: readonly Step[] = [0, 1].map((target) => ({
  atMs: 0,
  durationMs: 10_000,
  kind: "replicaLimit",
  target,
}));

const EARLY_WITHDRAWALS: readonly Step[] = [0, 600].map((atMs) => ({
  atMs,
  durationMs: 0,
  kind: "withdrawKey",
  target: 0,
}));

/** Keys that are withdrawn after the calls that wait for it have gone silent. */
const WITHDRAWALS_IN_SILENCE: readonly Step[] = [
  { atMs: 2000, durationMs: 0, kind: "storeLosesConnections", target: 0 },
  ...[2100, 2700].map((atMs) => ({
    atMs,
    durationMs: 0,
    kind: "withdrawKey" as const,
    target: 0,
  })),
];

/** Returns the faults of a run that shows an injected defect. */
export function createPlantedSchedule(defect: InjectedFault): FaultStep[] {
  return stepsFor(defect).map((step) => ({ ...step, linkFault: "reset" }));
}

function stepsFor(defect: InjectedFault): readonly Step[] {
  switch (defect) {
    case "waitsOnly":
      return WITHDRAWALS_IN_SILENCE;
    case "versionAlone":
      return [
        { atMs: 0, durationMs: RESTORE_MS, kind: "storeRestored", target: 0 },
        DRAIN_AFTER_RESTORE,
      ];
    case "fenceFromStore":
      return HOLDER_CHANGES;
    case "ignoreEpoch":
      return [...HOLDER_CHANGES, DRAIN_AFTER_RESTORE];
    case "issueAlone":
      return LIMITS_OF_A_SERVICE;
    case "countAlone":
      return [];
    case "forgetRepeats":
      return [{ atMs: 0, durationMs: 0, kind: "crashingRequest", target: 0 }];
    case "ignoreLeaving":
      return [
        { atMs: 0, durationMs: 10_000, kind: "replicaLeaving", target: 0 },
      ];
    case "ignorePause":
      return [{ atMs: 0, durationMs: 3000, kind: "replicaPause", target: 0 }];
    case "trustResponses":
      return REPLICA_SERVICES.map((_, target) => ({
        atMs: 0,
        durationMs: 8000,
        kind: "replicaRepeats",
        target,
      }));
    default:
      return EARLY_WITHDRAWALS;
  }
}
