/**
 * Loaded into a gateway before its program: lets its time of day jump on a
 * signal, and plants a fault on purpose where the environment names one.
 */
import {
  INJECTED_FAULT_VARIABLE,
  type InjectedFault,
} from "./injected_fault.ts";
import { FleetState, ReplicaCall } from "@banyanspool/gateway/fault_injection";

/** How far the time of day jumps. */
const CLOCK_STEP_MS = 2000;

letClockJump();
plant(process.env[INJECTED_FAULT_VARIABLE] as InjectedFault | undefined);

function letClockJump(): void {
  const trueNow = Date.now;
  let offsetMs = 0;
  process.on("SIGUSR2", () => {
    offsetMs = offsetMs === 0 ? CLOCK_STEP_MS : 0;
  });
  Date.now = () => trueNow() + offsetMs;
}

function plant(fault: InjectedFault | undefined): void {
  switch (fault) {
    case undefined:
      return;
    case "runTwice":
      return plantSecondRun();
    case "passKeyOn":
      return plantKey();
    case "oldConfiguration":
      return plantOldConfiguration();
  }
}

/** Sends each request with a body a second time. */
function plantSecondRun(): void {
  const create = ReplicaCall.create;
  ReplicaCall.create = (options) => {
    if (options.body) create(options).head.catch(() => {});
    return create(options);
  };
}

/** Forgets that the header with the key is not to be passed on. */
function plantKey(): void {
  const has = Set.prototype.has;
  Set.prototype.has = function (value: unknown) {
    return value !== "authorization" && has.call(this, value);
  };
}

/** Stays with the first configuration. */
function plantOldConfiguration(): void {
  const accept = FleetState.prototype.accept;
  FleetState.prototype.accept = function (configuration) {
    return this.version === 0 && accept.call(this, configuration);
  };
}
