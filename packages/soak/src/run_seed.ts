import {
  callGateway,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import { type Random, sleep } from "@banyanspool/types";
import { createRandom } from "@banyanspool/bench";
import { resumeStream, runCallers } from "./callers.ts";
import { parseStreamEvents } from "./stream_events.ts";
import type { InjectedFault } from "./injected_fault.ts";
import { createPlantedSchedule } from "./planted_schedule.ts";
import { sendHostileCrowd } from "./hostile_callers.ts";
import {
  leaveByWord,
  repeatCrashingRequest,
  repeatResponses,
} from "./replica_faults.ts";
import { drawSchedule, type FaultStep } from "./schedule.ts";
import { REPLICA_SERVICES, SoakFleet, type SoakGateway } from "./soak_fleet.ts";
import { InvariantChecker, type Violation } from "./invariant_checker.ts";

/** Options of {@link runSeed}. */
export interface RunOptions {
  /** Time in which faults start, in ms. */
  readonly durationMs: number;
  /** Number of gateways. */
  readonly gateways: number;
  /** Defect to inject into the gateways, in place of the seed's faults. */
  readonly injectedFault?: InjectedFault;
}

/** Result of {@link runSeed}. */
export interface SeedResult {
  /** Seed of the run. */
  readonly seed: number;
  /** Faults that were injected. */
  readonly steps: readonly FaultStep[];
  /** Number of requests that callers sent. */
  readonly sent: number;
  /** Number of responses by status; `cut` stands for incomplete ones. */
  readonly responses: ReadonlyMap<string, number>;
  /** The same of requests that resumed a stream. */
  readonly resumptions: ReadonlyMap<string, number>;
  /** The most memory that a gateway's process has had, in MiB. */
  readonly peakMemoryMib: number;
  /** Violated invariants; empty if the run passed. */
  readonly violations: readonly Violation[];
}

// The bounds are twice those that the users state, as the test machine may be
// busy.
const APPLY_MS = 4000;
const UNDISTURBED_MS = 3000;
const DRAIN_MS = 4000;
const LIMIT_MS = 3000;
const CRASH_MS = 6000;
const PAUSE_GRACE_MS = 1000;
/** Time from a replica's drain notice until it is removed. */
const DRAIN_NOTICE_MS = 1500;
/** Time for which the store is away before it is restored. */
const STORE_AWAY_MS = 150;
/** Least time for which a replica limits its requests. */
const MIN_LIMIT_MS = 5000;
/** Time in which every route must be served again after the last fault. */
const RECOVERY_TIMEOUT_MS = 30_000;
const POLL_MS = 100;
/** Time after which an injected defect counts as undetected. */
const DETECTION_TIMEOUT_MS = 60_000;

/** Starts a fleet, injects the faults of one seed and returns the result. */
export async function runSeed(
  seed: number,
  { durationMs, gateways, injectedFault }: RunOptions,
): Promise<SeedResult> {
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);
  const checker = InvariantChecker.create({
    applyMs: APPLY_MS,
    undisturbedMs: UNDISTURBED_MS,
    drainMs: DRAIN_MS,
    limitMs: LIMIT_MS,
    crashMs: CRASH_MS,
    pauseGraceMs: PAUSE_GRACE_MS,
  });
  const fleet = await SoakFleet.create({
    gateways,
    injectedFault,
    checker,
    now,
  });
  const replicas = REPLICA_SERVICES.length;
  const steps = injectedFault
    ? createPlantedSchedule(injectedFault)
    : drawSchedule(seed, { durationMs, gateways, replicas });
  // Shows defects of streams that are taken up again.
  fleet.cutsOffNewStreams = injectedFault !== undefined;
  const callersAbort = new AbortController();
  const callers = runCallers(
    { fleet, checker, seed, now },
    callersAbort.signal,
  );
  const trafficStartedAt = now();
  const run: Run = {
    fleet,
    checker,
    now,
    repeats: [],
    signal: callersAbort.signal,
  };
  await Promise.all([
    injectedFault ? waitForViolation(run) : sleep(durationMs),
    ...steps.map(async (step) => {
      await sleep(Math.max(0, trafficStartedAt + step.atMs - now()));
      await injectFault(step, run);
    }),
  ]);
  fleet.cutsOffNewStreams = false;
  await checkRecovery(run);
  callersAbort.abort();
  await Promise.all([callers, ...run.repeats]);
  await checkResumptions(run, createRandom(seed));
  const codes = await fleet.stop();
  for (const [index, code] of codes.entries()) {
    if (code !== 0) {
      checker.recordViolation(
        "a gateway stops with exit code 0",
        `gateway-${index}: ${code}`,
      );
    }
  }
  return {
    seed,
    steps,
    sent: checker.sentCount,
    responses: checker.countResponses(),
    resumptions: checker.countResumptions(),
    peakMemoryMib: fleet.peakMemoryMib,
    violations: checker.violations,
  };
}

/** Waits for a violation, as a busy machine may show a defect late. */
async function waitForViolation(
  { fleet, checker, now }: Run,
): Promise<void> {
  const until = now() + DETECTION_TIMEOUT_MS;
  while (checker.violations.length === 0 && now() < until) {
    await sleep(POLL_MS);
    fleet.checkOrders();
  }
}

/** A fleet and what observes it, during one run. */
export interface Run {
  readonly fleet: SoakFleet;
  readonly checker: InvariantChecker;
  readonly now: () => number;
  /** Callers that repeat a request until the signal is aborted. */
  readonly repeats: Promise<void>[];
  readonly signal: AbortSignal;
}

async function injectFault(step: FaultStep, run: Run): Promise<unknown> {
  const { fleet, checker, now } = run;
  const { kind, target, durationMs, linkFault } = step;
  const from = now();
  const { store } = fleet.platform;
  switch (kind) {
    case "kill":
    case "stop":
    case "pause":
    case "hangup":
    case "clockStep":
    case "peerLink":
    case "storeLink":
      await injectGatewayFault(step, run);
      checker.recordDisturbance(target, from, now());
      return;
    case "storeBusy":
    case "storeSilent":
    case "storeLosesAnswers":
    case "storeResets":
      store.fault = STORE_FAULTS[kind];
      await sleep(durationMs);
      store.fault = "none";
      return recordDisturbances(run, from);
    case "storeDeaf":
      store.fault = "deaf";
      await sleep(durationMs);
      store.fault = "none";
      return;
    case "storeLosesConnections":
      return store.silenceConnections();
    case "storeForgets":
      store.discardHistory({
        waitingCalls: linkFault === "delay" ? "kept" : "reset",
      });
      return recordDisturbances(run, from);
    case "storeRestored":
      await restoreStore(step, run);
      return recordDisturbances(run, from);
    case "herdKill":
      await fleet.moveToVersion(target);
      await Promise.all(
        fleet.gateways.map((_, index) =>
          injectGatewayFault({ ...step, kind: "kill", target: index }, run)
        ),
      );
      return recordDisturbances(run, from);
    case "crashingRequest":
      return run.repeats.push(repeatCrashingRequest(step, run));
    case "hostileCallers":
      return await sendHostileCrowd(step, run);
    case "replicaLeaving":
      return await leaveByWord(step, run);
    case "replicaPause":
      return await fleet.pauseReplica(
        fleet.replicas[target]!,
        durationMs,
      );
    case "replicaLimit":
      return await fleet.limitReplica(
        fleet.replicas[target]!,
        durationMs + MIN_LIMIT_MS,
      );
    case "replicaRepeats":
      return await repeatResponses(step, run);
    case "replicaLink":
      fleet.replicas[target]!.proxy.injectFault(linkFault);
      await sleep(durationMs);
      fleet.replicas[target]!.proxy.clearFault();
      return;
    case "replicaCrash":
      return await fleet.restartReplica(fleet.replicas[target]!);
    case "replicaUpgrade":
      return await fleet.upgradeReplica(fleet.replicas[target]!);
    case "rollingStop":
      for (const index of fleet.gateways.keys()) {
        const stopStep = { ...step, kind: "stop" as const, target: index };
        const stoppedFrom = now();
        await injectGatewayFault(stopStep, run);
        checker.recordDisturbance(index, stoppedFrom, now());
      }
      return;
    case "replicaDrain":
      fleet.announceDraining(fleet.replicas[target]!);
      await sleep(DRAIN_NOTICE_MS + durationMs);
      return await fleet.replaceReplica(fleet.replicas[target]!);
    case "lateOrders":
      fleet.replicas[target]!.standin.unansweredOrders += 2;
      return;
    case "withdrawKey":
      return fleet.rotateKey();
    case "moveRoutes":
      return fleet.switchService();
  }
}

const STORE_FAULTS = {
  storeBusy: "busy",
  storeSilent: "silent",
  storeLosesAnswers: "loseAnswers",
  storeResets: "reset",
} as const;

/**
 * Restores the store from the copy of the step's start. It is away for a moment
 * before, in which it may carry out writes without answering them. What the
 * operator and the replicas wrote since is written again right after.
 */
async function restoreStore(
  { durationMs, linkFault }: FaultStep,
  { fleet }: Run,
): Promise<void> {
  const { store } = fleet.platform;
  const { version } = store;
  fleet.raiseVersion();
  await sleep(durationMs);
  store.fault = linkFault === "oneWay" ? "loseAnswers" : "busy";
  await sleep(STORE_AWAY_MS);
  store.fault = "none";
  store.restore(Math.min(version, store.version), {
    waitingCalls: linkFault === "delay" ? "kept" : "reset",
  });
  fleet.rewritePlatform();
}

function recordDisturbances(
  { fleet, checker, now }: Run,
  from: number,
): void {
  for (const index of fleet.gateways.keys()) {
    checker.recordDisturbance(index, from, now());
  }
}

/** Last fault of each gateway; faults of one gateway run one after another. */
const lastFaults = new WeakMap<SoakGateway, Promise<void>>();

async function injectGatewayFault(
  step: FaultStep,
  { fleet }: Run,
): Promise<void> {
  const gateway = fleet.gateways[step.target]!;
  const done = (lastFaults.get(gateway) ?? Promise.resolve())
    .then(() => injectProcessFault(step, { gateway, fleet }));
  lastFaults.set(gateway, done);
  await done;
}

async function injectProcessFault(
  { kind, durationMs, linkFault }: FaultStep,
  { gateway, fleet }: { gateway: SoakGateway; fleet: SoakFleet },
): Promise<void> {
  switch (kind) {
    case "kill":
      fleet.checkMemory(gateway);
      await gateway.child.kill();
      return await fleet.restartGateway(gateway);
    case "stop":
      fleet.checkMemory(gateway);
      await gateway.child.stop();
      return await fleet.restartGateway(gateway);
    case "pause":
      gateway.child.signal("SIGSTOP");
      await sleep(durationMs);
      gateway.child.signal("SIGCONT");
      return;
    case "hangup":
      gateway.child.signal("SIGHUP");
      return;
    case "clockStep":
      gateway.child.signal("SIGUSR2");
      await sleep(durationMs);
      gateway.child.signal("SIGUSR2");
      return;
    case "peerLink":
      gateway.child.signal("SIGWINCH");
      await sleep(durationMs);
      gateway.child.signal("SIGWINCH");
      return;
    default:
      gateway.storeProxy.injectFault(linkFault);
      await sleep(durationMs);
      gateway.storeProxy.clearFault();
  }
}

/** Checks that every gateway serves every route again after the last fault. */
async function checkRecovery(
  { fleet, checker, now }: Run,
): Promise<void> {
  const until = now() + RECOVERY_TIMEOUT_MS;
  let probes = 0;
  for (const [gateway, { host, incarnation }] of fleet.gateways.entries()) {
    for (const route of ["book", "look", "chat"] as const) {
      let isServed = false;
      while (!isServed && now() < until) {
        probes += 1;
        const id = `probe-${probes}`;
        const call = {
          id,
          route,
          key: STANDIN_KEY,
          model: route === "chat" ? "m2" : undefined,
          deadlineMs: 2000,
          body: route === "look" ? undefined : "probe",
        };
        checker.recordRequest({ ...call, gateway, incarnation, atMs: now() });
        const port = fleet.callerPort;
        const response = await callGateway(call, { host, port });
        checker.recordResponse(id, response);
        isServed = response.status === 200;
        if (!isServed) await sleep(POLL_MS);
      }
      if (!isServed) {
        checker.recordViolation(
          "every route is served after the last fault",
          `${route} at gateway-${gateway}`,
        );
      }
    }
  }
}

/** Streams that are cut off after the last fault. */
const CUT_OFF_STREAMS = 12;
/** Share of them that must be completed at any gateway. */
const MIN_RESUMED_SHARE = 0.5;

/**
 * Checks that streams whose version two replicas run are taken up again at any
 * gateway after the last fault.
 */
async function checkResumptions(run: Run, random: Random): Promise<void> {
  const { fleet, checker, now } = run;
  let begun = 0;
  let completed = 0;
  fleet.cutsOffNewStreams = true;
  for (let i = 0; i < CUT_OFF_STREAMS; i += 1) {
    const gateway = i % fleet.gateways.length;
    const { host, incarnation } = fleet.gateways[gateway]!;
    const call = {
      id: `cut-${i}`,
      route: "chat",
      key: STANDIN_KEY,
      model: "m2",
      deadlineMs: 3000,
      body: "cut",
    } as const;
    checker.recordRequest({ ...call, gateway, incarnation, atMs: now() });
    const response = await callGateway(call, { host, port: fleet.callerPort });
    checker.recordResponse(call.id, response);
    const [first] = parseStreamEvents(response.text);
    if (!first || !fleet.servedVersions.has(first.version)) continue;
    begun += 1;
    const isCompleted = response.isComplete ||
      await resumeStream(run, { call, response, random });
    if (isCompleted) completed += 1;
  }
  const isExpected = fleet.servedVersions.size > 0;
  if (isExpected && (begun === 0 || completed < begun * MIN_RESUMED_SHARE)) {
    checker.recordViolation(
      "streams that were cut off are taken up again",
      `${completed} of ${begun}`,
    );
  }
}
