/**
 * Module that is loaded into a gateway's process before its program. It moves
 * the wall clock forward or back at SIGUSR2, begins or ends to drop datagrams at
 * SIGWINCH, and injects a defect if the environment names one.
 */
import { Socket } from "node:dgram";
import {
  INJECTED_FAULT_VARIABLE,
  type InjectedFault,
} from "./injected_fault.ts";
import {
  ConfigurationFreshness,
  FleetState,
  ReplicaCall,
  ReplicaRegistry,
} from "@banyanspool/gateway/fault_injection";
import { Quarantine } from "@banyanspool/quarantine";
import { StoreClient } from "@banyanspool/platform-adapter";
import { SlidingWindowLimiter } from "@banyanspool/limits";
import { ReplicaPauses, ReplicaPermits } from "@banyanspool/replica-limits";
import { ResponseMatcher } from "@banyanspool/responses";
import { ReplicaTracker } from "@banyanspool/routing";
import { StreamOrigins } from "@banyanspool/streams";
import { ok } from "@banyanspool/types";

/** How far SIGUSR2 moves the wall clock forward; a second one moves it back. */
const CLOCK_STEP_MS = 2000;
/** Longer than any run. */
const NEVER_MS = 3_600_000;

moveClockOnSignal();
dropDatagramsOnSignal();
injectFault(process.env[INJECTED_FAULT_VARIABLE] as InjectedFault | undefined);

function moveClockOnSignal(): void {
  const systemNow = Date.now;
  let offsetMs = 0;
  process.on("SIGUSR2", () => {
    offsetMs = offsetMs === 0 ? CLOCK_STEP_MS : 0;
  });
  Date.now = () => systemNow() + offsetMs;
}

function dropDatagramsOnSignal(): void {
  let isDropping = false;
  process.on("SIGWINCH", () => {
    isDropping = !isDropping;
  });
  const { send, emit } = Socket.prototype;
  Socket.prototype.send = function (this: Socket, ...args: unknown[]) {
    if (!isDropping) Reflect.apply(send, this, args);
  };
  Socket.prototype.emit = function (this: Socket, ...args: unknown[]) {
    if (isDropping && args[0] === "message") return true;
    return Reflect.apply(emit, this, args);
  };
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
    case "waitsOnly":
      return waitOnly();
    case "ignoreVersion":
      return ignoreVersions();
    case "guessVersion":
      return guessVersions();
    case "versionAlone":
      return compareVersionsAlone();
    case "fenceFromStore":
      return takeFencesFromStore();
    case "ignoreEpoch":
      compareVersionsAlone();
      return takeFencesFromStore();
    case "issueAlone":
      return issuePermitsAlone();
    case "countAlone":
      return countAlone();
    case "forgetRepeats":
      return forgetRepeats();
    case "ignoreLeaving":
      ReplicaRegistry.prototype.markLeaving = () => false;
      return;
    case "ignorePause":
      ReplicaPauses.prototype.record = () => {};
      return;
    case "trustResponses":
      ResponseMatcher.prototype.match = (_id, { notRun }) =>
        notRun ? { kind: "notRun", mayReuse: true } : { kind: "answer" };
      return;
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
  FleetState.prototype.accept = function (configuration, source) {
    return this.version === 0 && accept.call(this, configuration, source);
  };
}

/** Lets the gateway never check whether it has missed a change. */
function waitOnly(): void {
  Object.defineProperty(ConfigurationFreshness.prototype, "readDueInMs", {
    get: () => NEVER_MS,
  });
}

/** Lets the gateway order what it reads from the store by versions alone. */
function compareVersionsAlone(): void {
  const { readTable, waitForChanges } = StoreClient.prototype;
  StoreClient.prototype.readTable = async function (table, choice) {
    const res = await readTable.call(this, table, choice);
    if (!res.ok) return res;
    const { rows, position } = res.value;
    return ok({ rows, position: { ...position, epoch: 0 } });
  };
  StoreClient.prototype.waitForChanges = function (table, wait) {
    const current = { epoch: this.epoch, version: wait.after.version };
    return waitForChanges.call(this, table, { ...wait, after: current });
  };
}

/** Lets the placement lease count fencing tokens by its row alone. */
function takeFencesFromStore(): void {
  Object.defineProperty(StoreClient.prototype, "epoch", { get: () => 0 });
}

/** Lets each gateway issue the permits for its own requests. */
function issuePermitsAlone(): void {
  const { create } = ReplicaPermits;
  ReplicaPermits.create = (options) =>
    create({ ...options, issuersOf: () => [options.instance] });
}

/** Lets each gateway count the use of an organisation's rate for itself. */
function countAlone(): void {
  const { create } = SlidingWindowLimiter;
  SlidingWindowLimiter.create = (options) =>
    create({ ...options, liveEntryCount: () => 1 });
  SlidingWindowLimiter.prototype.recordReport = () => {};
}

/** Gives the requests of each crash digests of their own. */
function forgetRepeats(): void {
  const { recordCrash } = Quarantine.prototype;
  Quarantine.prototype.recordCrash = function (replica, requests) {
    const alone = requests.map(({ parts }) => ({ digest: replica, parts }));
    recordCrash.call(this, replica, alone);
  };
}
