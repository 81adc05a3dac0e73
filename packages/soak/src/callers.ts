import { Agent } from "node:http";
import { createRandom } from "@banyanspool/bench";
import {
  callGateway,
  type GatewayRequest,
  type GatewayResponse,
} from "@banyanspool/platform-adapter/testing";
import { type Random, sleep } from "@banyanspool/types";
import { pick } from "./schedule.ts";
import {
  parseStreamEvents,
  STREAM_EVENTS,
  STREAMING_ROUTES,
} from "./stream_events.ts";
import { LIMITED_KEY, type SoakFleet } from "./soak_fleet.ts";
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
/** Further callers, of an organisation that sends beyond its rate. */
const LIMITED_CALLERS_PER_GATEWAY = 2;
const DEADLINE_MS = 3000;
/** Longest pause between two requests of a caller. */
const MAX_PAUSE_MS = 40;
/** Attempts to take up one stream. */
const MAX_RESUMPTIONS = 3;
const ROUTES = ["book", "look", "open", "chat", "draft"] as const;
const ADAPTER_SHARE = 0.3;
const PLAIN_MODELS = ["m1", "m2"];
/** More adapters than all replicas together can hold. */
const ADAPTERS = [
  "m1/a1",
  "m1/a2",
  "m1/a3",
  "m2/a1",
  "m2/a2",
  "m2/a3",
];

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
      { length: CALLERS_PER_GATEWAY + LIMITED_CALLERS_PER_GATEWAY },
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
    const drawn = drawCall(id, [...keys], random);
    const call = caller >= CALLERS_PER_GATEWAY && drawn.key !== undefined
      ? { ...drawn, key: LIMITED_KEY }
      : drawn;
    const { host, incarnation } = fleet.gateways[gateway]!;
    checker.recordRequest({ ...call, gateway, incarnation, atMs: now() });
    const port = fleet.callerPort;
    const response = await callGateway(call, { host, port, agent });
    checker.recordResponse(id, response);
    if (isCutOffStream(call, response)) {
      await resumeStream({ fleet, checker, now }, { call, response, random });
    }
    await sleep(random() * MAX_PAUSE_MS);
  }
  agent.destroy();
}

function isCutOffStream(
  { route }: GatewayRequest,
  { status, isComplete, text }: GatewayResponse,
): boolean {
  return route === "chat" && status === 200 && !isComplete &&
    parseStreamEvents(text).length > 0;
}

/**
 * Takes up a stream that was cut off at any gateway, until it is complete, the
 * caller is refused or it has tried a few times. Returns whether it was
 * completed.
 */
export async function resumeStream(
  { fleet, checker, now }: Omit<CallerOptions, "seed">,
  { call, response, random }: {
    call: GatewayRequest;
    response: GatewayResponse;
    random: Random;
  },
): Promise<boolean> {
  let lastEventId = 0;
  let last = response;
  for (let attempt = 1; attempt <= MAX_RESUMPTIONS; attempt += 1) {
    lastEventId = parseStreamEvents(last.text).at(-1)?.id ?? lastEventId;
    if (lastEventId === STREAM_EVENTS) return true;
    const gateway = Math.floor(random() * fleet.gateways.length);
    const { host, incarnation } = fleet.gateways[gateway]!;
    const resumed = {
      ...call,
      id: `${call.id}-resumed-${attempt}`,
      resumes: { attempt: call.id, lastEventId },
    };
    checker.recordRequest({ ...resumed, gateway, incarnation, atMs: now() });
    last = await callGateway(resumed, { host, port: fleet.callerPort });
    checker.recordResponse(resumed.id, last);
    if (last.status === 200 && last.isComplete) return true;
    if (last.status !== 200) return false;
  }
  return false;
}

function drawModel(random: Random): string {
  const isAdapter = random() < ADAPTER_SHARE;
  return pick(isAdapter ? ADAPTERS : PLAIN_MODELS, random);
}

/** Draws a request with any key granted so far, including withdrawn ones. */
function drawCall(
  id: string,
  keys: readonly string[],
  random: Random,
): GatewayRequest {
  const route = pick(ROUTES, random);
  const key = random() < 0.5 ? keys[0] : pick(keys, random);
  const isModelCall = STREAMING_ROUTES.has(route);
  return {
    id,
    route,
    key: route === "open" ? undefined : key,
    model: isModelCall ? drawModel(random) : undefined,
    tokens: isModelCall ? [20, 10] : undefined,
    deadlineMs: DEADLINE_MS,
    body: route === "book" || isModelCall ? `body of ${id}` : undefined,
  };
}
