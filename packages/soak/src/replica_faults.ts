import {
  callGateway,
  type GatewayRequest,
  STANDIN_KEY,
} from "@banyanspool/platform-adapter/testing";
import { sleep } from "@banyanspool/types";
import type { Run } from "./run_seed.ts";
import type { FaultStep } from "./schedule.ts";

/** Routes of the requests that crash replicas. */
const CRASHING_ROUTES = ["look", "book", "chat"] as const;
const REPEAT_GAP_MS = 120;
/** Least time from a replica's first word that it leaves until it is removed. */
const MIN_LEAVING_MS = 5000;

/** Repeats a request that crashes replicas, at any gateway. */
export async function repeatCrashingRequest(
  { atMs, target }: FaultStep,
  { fleet, checker, now, signal }: Run,
): Promise<void> {
  const route = CRASHING_ROUTES[target % CRASHING_ROUTES.length]!;
  const resource = `fatal-${atMs}`;
  for (let i = 0; !signal.aborted; i += 1) {
    const gateway = i % fleet.gateways.length;
    const { host, incarnation } = fleet.gateways[gateway]!;
    const call: GatewayRequest = {
      id: `${resource}-${i}`,
      route,
      resource,
      key: STANDIN_KEY,
      model: route === "chat" ? "m2" : undefined,
      deadlineMs: 1000,
      body: "fatal",
    };
    checker.recordRequest({ ...call, gateway, incarnation, atMs: now() });
    const response = await callGateway(call, { host, port: fleet.callerPort });
    checker.recordResponse(call.id, response);
    await sleep(REPEAT_GAP_MS);
  }
}

/**
 * Lets a replica leave that says so in its responses, and in its row late or
 * never, and replaces it.
 */
export async function leaveByWord(
  { target, durationMs, linkFault }: FaultStep,
  { fleet }: Run,
): Promise<void> {
  const replica = fleet.replicas[target]!;
  if (replica.isLeaving) return;
  replica.isLeaving = true;
  await sleep(MIN_LEAVING_MS);
  if (linkFault === "silent") fleet.announceDraining(replica);
  await sleep(durationMs);
  replica.isLeaving = false;
  await fleet.replaceReplica(replica);
}

/** Each how many responses of a replica that repeats them come twice. */
const REPEATED_EVERY = 2;

/**
 * Lets a replica turn some requests away, and send a second copy of some of its
 * responses, late.
 */
export async function repeatResponses(
  { target, durationMs }: FaultStep,
  { fleet }: Run,
): Promise<void> {
  const replica = fleet.replicas[target]!;
  const { standin } = replica;
  let responses = 0;
  standin.repeats = () => {
    responses += 1;
    return responses % REPEATED_EVERY === 0;
  };
  replica.isRepeating = true;
  await sleep(durationMs);
  replica.isRepeating = false;
  standin.repeats = () => false;
}
