/**
 * Module that is loaded into a gateway's process before its program. It moves
 * the wall clock forward or back at SIGUSR2, and injects a defect if the
 * environment names one.
 */
import {
  INJECTED_FAULT_VARIABLE,
  type InjectedFault,
} from "./injected_fault.ts";
import { FleetState, ReplicaCall } from "@banyanspool/gateway/fault_injection";
import { ReplicaTracker } from "@banyanspool/routing";
import { StreamOrigins } from "@banyanspool/streams";

/** How far SIGUSR2 moves the wall clock forward; a second one moves it back. */
const CLOCK_STEP_MS = 2000;

moveClockOnSignal();
injectFault(process.env[INJECTED_FAULT_VARIABLE] as InjectedFault | undefined);

function moveClockOnSignal(): void {
  const systemNow = Date.now;
  let offsetMs = 0;
  process.on("SIGUSR2", () => {
    offsetMs = offsetMs === 0 ? CLOCK_STEP_MS : 0;
  });
  Date.now = () => systemNow() + offsetMs;
}

function injectFault(fault: InjectedFault | undefined): void {
  switch (fault) {
    case undefined:
      return;
    case "runTwice":
      return sendTwice();
    case "passKeyOn":
      return forwardKey();
    case "oldConfiguration":
      return keepFirstConfiguration();
    case "ignoreVersion":
      return ignoreVersions();
    case "guessVersion":
      return guessVersions();
  }
}

/** Sends each request with a body to the replica twice. */
function sendTwice(): void {
  const create = ReplicaCall.create;
  ReplicaCall.create = (options) => {
    if (options.body) create(options).head.catch(() => {});
    return create(options);
  };
}

/** Hides `authorization` from every set, so the gateway forwards the API key. */
function forwardKey(): void {
  const has = Set.prototype.has;
  Set.prototype.has = function (value: unknown) {
    return value !== "authorization" && has.call(this, value);
  };
}

/** Lets all replicas look as if they ran one software version. */
function ignoreVersions(): void {
  const updateServers = ReplicaTracker.prototype.updateServers;
  ReplicaTracker.prototype.updateServers = function (servers) {
    const alike = servers.map((server) => ({ ...server, softwareVersion: "" }));
    updateServers.call(this, alike);
  };
}

/** Lets the gateway take one version for that of all resumed streams. */
function guessVersions(): void {
  StreamOrigins.prototype.find = () => Promise.resolve("v1");
}

/** Lets the gateway keep the first configuration that it receives. */
function keepFirstConfiguration(): void {
  const accept = FleetState.prototype.accept;
  FleetState.prototype.accept = function (configuration) {
    return this.version === 0 && accept.call(this, configuration);
  };
}
