import { Agent } from "node:http";
import { createRandom } from "@banyanspool/bench";
import {
  callGateway,
  type GatewayRequest,
} from "@banyanspool/platform-adapter/testing";
import { type Random, sleep } from "@banyanspool/types";
import { pick } from "./schedule.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { InvariantChecker } from "./invariant_checker.ts";

/** Options of {@link runCallers}. */
export interface CallerOptions {
  /** Gateways that receive the requests. */
  readonly fleet: SoakFleet;
  /** Records requests and responses. */
  readonly checker: InvariantChecker;
  /** Seed of the requests' contents and of the pauses between them. */
  readonly seed: number;
  /** Clock, in ms from the start of the run. */
  readonly now: () => number;
}

const CALLERS_PER_GATEWAY = 3;
const DEADLINE_MS = 3000;
/** Longest pause between two requests of a caller. */
const MAX_PAUSE_MS = 40;
const ROUTES = ["book", "look", "open", "chat"] as const;
const MODELS = ["m1", "m2", "m1/a1"];

/**
 * Sends requests until the signal is aborted. Each caller keeps its connection
 * open until the gateway closes it or exits.
 */
export async function runCallers(
  options: CallerOptions,
  signal: AbortSignal,
): Promise<void> {
  const callers = options.fleet.gateways.flatMap((_, gateway) =>
    Array.from(
      { length: CALLERS_PER_GATEWAY },
      (_, caller) => runCaller(options, { gateway, caller, signal }),
    )
  );
  await Promise.all(callers);
}

async function runCaller(
  { fleet, checker, seed, now }: CallerOptions,
  { gateway, caller, signal }: {
    gateway: number;
    caller: number;
    signal: AbortSignal;
  },
): Promise<void> {
  const random = createRandom(seed * 1000 + gateway * 10 + caller);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const keys = new Set<string>();
  let count = 0;
  while (!signal.aborted) {
    for (const key of fleet.keys) keys.add(key);
    count += 1;
    const id = `r${gateway}-${caller}-${count}`;
    const call = drawCall(id, [...keys], random);
    const { host, incarnation } = fleet.gateways[gateway]!;
    checker.recordRequest({ ...call, gateway, incarnation, atMs: now() });
    const port = fleet.callerPort;
    checker.recordResponse(id, await callGateway(call, { host, port, agent }));
    await sleep(random() * MAX_PAUSE_MS);
  }
  agent.destroy();
}

/** Draws a request with any key granted so far, including withdrawn ones. */
function drawCall(
  id: string,
  keys: readonly string[],
  random: Random,
): GatewayRequest {
  const route = pick(ROUTES, random);
  const key = random() < 0.5 ? keys[0] : pick(keys, random);
  const isModelCall = route === "chat";
  return {
    id,
    route,
    key: route === "open" ? undefined : key,
    model: isModelCall ? pick(MODELS, random) : undefined,
    tokens: isModelCall ? [20, 10] : undefined,
    deadlineMs: DEADLINE_MS,
    body: route === "book" || isModelCall ? `body of ${id}` : undefined,
  };
}
