import {
  callGateway,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import { sleep } from "@banyanspool/types";
import { runCallers } from "./callers.ts";
import type { InjectedFault } from "./injected_fault.ts";
import { drawSchedule, type FaultStep } from "./schedule.ts";
import { REPLICA_SERVICES, SoakFleet, type SoakGateway } from "./soak_fleet.ts";
import { InvariantChecker, type Violation } from "./invariant_checker.ts";

/** Options of {@link runSeed}. */
export interface RunOptions {
  /** Time in which faults begin, in ms. */
  readonly durationMs: number;
  /** Gateways. */
  readonly gateways: number;
  /** Fault planted in the gateways on purpose; then no others come. */
  readonly planted?: InjectedFault;
}

/** What one run showed. */
export interface SeedResult {
  /** Its seed. */
  readonly seed: number;
  /** Faults that came. */
  readonly steps: readonly FaultStep[];
  /** Requests sent. */
  readonly sent: number;
  /** Answers by status. */
  readonly responses: ReadonlyMap<string, number>;
  /** Promises that were broken. */
  readonly violations: readonly Violation[];
}

/** Twice what the users state, as the machine may be busy, in ms. */
const APPLY_MS = 4000;
const CONTACT_MS = 3000;
const DRAIN_MS = 4000;
/** A leaving replica stays this long after its notice, in ms. */
const LEAVING_MS = 1500;
/** Time for everything to be served again after the last fault, in ms. */
const RECOVER_MS = 30_000;
const RECOVER_POLL_MS = 100;
/** Time after which a planted fault counts as not found, in ms. */
const PLANTED_LIMIT_MS = 60_000;

/** Runs the faults of one seed against a fresh deployment. */
export async function runSeed(
  seed: number,
  { durationMs, gateways, planted }: RunOptions,
): Promise<SeedResult> {
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);
  const witness = InvariantChecker.create({
    applyMs: APPLY_MS,
    undisturbedMs: CONTACT_MS,
    drainMs: DRAIN_MS,
  });
  const fleet = await SoakFleet.create({
    gateways,
    planted,
    checker: witness,
    now,
  });
  const replicas = REPLICA_SERVICES.length;
  const steps = planted
    ? plantedSteps(durationMs)
    : drawSchedule(seed, { durationMs, gateways, replicas });
  const isOver = new AbortController();
  const callers = runCallers(
    { fleet, checker: witness, seed, now },
    isOver.signal,
  );
  const beganAt = now();
  const run = { fleet, witness, now };
  await Promise.all([
    planted ? awaitBroken(run) : sleep(durationMs),
    ...steps.map(async (step) => {
      await sleep(Math.max(0, beganAt + step.atMs - now()));
      await takeStep(step, run);
    }),
  ]);
  await awaitRecovery(run);
  isOver.abort();
  await callers;
  const codes = await fleet.stop();
  for (const [index, code] of codes.entries()) {
    if (code !== 0) {
      witness.recordViolation("a stop is clean", `gateway-${index}: ${code}`);
    }
  }
  return {
    seed,
    steps,
    sent: witness.sentCount,
    responses: witness.countResponses(),
    violations: witness.violations,
  };
}

/** A planted fault shows sooner or later, as fast as the machine allows. */
async function awaitBroken({ witness, now }: Run): Promise<void> {
  const until = now() + PLANTED_LIMIT_MS;
  while (witness.violations.length === 0 && now() < until) {
    await sleep(RECOVER_POLL_MS);
  }
}

interface Run {
  readonly fleet: SoakFleet;
  readonly witness: InvariantChecker;
  readonly now: () => number;
}

/** Keys are withdrawn early, so that an old configuration shows. */
function plantedSteps(durationMs: number): FaultStep[] {
  return [0, 0.1].map((part) => ({
    atMs: part * durationMs,
    durationMs: 0,
    kind: "withdrawKey",
    target: 0,
    linkFault: "reset",
  }));
}

async function takeStep(step: FaultStep, run: Run): Promise<void> {
  const { fleet, witness, now } = run;
  const { kind, target, durationMs: forMs, linkFault: link } = step;
  const from = now();
  const { store } = fleet.platform;
  switch (kind) {
    case "kill":
    case "stop":
    case "pause":
    case "hangup":
    case "clockStep":
    case "storeLink":
      await disturbGateway(step, run);
      witness.recordDisturbance(target, from, now());
      return;
    case "storeBusy":
    case "storeSilent":
    case "storeLosesAnswers":
      store.fault = STORE_FAULTS[kind];
      await sleep(forMs);
      store.fault = "none";
      return disturbAll(run, from);
    case "storeForgets":
      store.discardHistory();
      return disturbAll(run, from);
    case "replicaLink":
      fleet.replicas[target]!.proxy.injectFault(link);
      await sleep(forMs);
      fleet.replicas[target]!.proxy.clearFault();
      return;
    case "replicaCrash":
      return await fleet.restartReplica(fleet.replicas[target]!);
    case "replicaDrain":
      fleet.announceDraining(fleet.replicas[target]!);
      await sleep(LEAVING_MS);
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
} as const;

function disturbAll({ fleet, witness, now }: Run, from: number): void {
  for (const index of fleet.gateways.keys()) {
    witness.recordDisturbance(index, from, now());
  }
}

/** Steps of one gateway that overlap wait for each other to end. */
const busy = new WeakMap<SoakGateway, Promise<void>>();

async function disturbGateway(step: FaultStep, { fleet }: Run): Promise<void> {
  const gateway = fleet.gateways[step.target]!;
  const turn = (busy.get(gateway) ?? Promise.resolve())
    .then(() => disturbProcess(step, { gateway, fleet }));
  busy.set(gateway, turn);
  await turn;
}

async function disturbProcess(
  { kind, durationMs: forMs, linkFault: link }: FaultStep,
  { gateway, fleet }: { gateway: SoakGateway; fleet: SoakFleet },
): Promise<void> {
  switch (kind) {
    case "kill":
      await gateway.child.kill();
      return await fleet.restartGateway(gateway);
    case "stop":
      await gateway.child.stop();
      return await fleet.restartGateway(gateway);
    case "pause":
      gateway.child.signal("SIGSTOP");
      await sleep(forMs);
      gateway.child.signal("SIGCONT");
      return;
    case "hangup":
      gateway.child.signal("SIGHUP");
      return;
    case "clockStep":
      gateway.child.signal("SIGUSR2");
      await sleep(forMs);
      gateway.child.signal("SIGUSR2");
      return;
    default:
      gateway.storeProxy.injectFault(link);
      await sleep(forMs);
      gateway.storeProxy.clearFault();
  }
}

/** Once nothing is disturbed, every gateway serves every route again. */
async function awaitRecovery({ fleet, witness, now }: Run): Promise<void> {
  const until = now() + RECOVER_MS;
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
        witness.recordRequest({ ...call, gateway, incarnation, atMs: now() });
        const port = fleet.callerPort;
        const answer = await callGateway(call, { host, port });
        witness.recordResponse(id, answer);
        isServed = answer.status === 200;
        if (!isServed) await sleep(RECOVER_POLL_MS);
      }
      if (!isServed) {
        witness.recordViolation(
          "all is served again",
          `${route} at gateway-${gateway}`,
        );
      }
    }
  }
}
