import type { FleetStandin } from "@banyanspool/platform-adapter/testing";
import test, { type ExecutionContext } from "ava";
import { addCrashingReplicas } from "./testing/crashing_replicas.ts";
import {
  type CallerResponse,
  chat,
  event,
  findFreePort,
  type RunningGateway,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const REPLICAS = 12;
/** Replicas that one request may crash before it is kept away from them. */
const MAX_CRASHES = 3;
const GATEWAYS = 3;
const REPEATS = 9;
/** Time in which the gateways find each other, in ms. */
const DISCOVERY_MS = 600;
const REPEAT_GAP_MS = 250;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function startGateways(
  t: ExecutionContext,
  fleet: FleetStandin,
): Promise<RunningGateway[]> {
  const port = await findFreePort();
  const gateways: RunningGateway[] = [];
  for (let i = 1; i <= GATEWAYS; i += 1) {
    gateways.push(await startGateway(t, fleet, { host: `127.0.0.${i}`, port }));
  }
  await pause(DISCOVERY_MS);
  return gateways;
}

/** Sends a request again and again, at one gateway after the other. */
async function repeat(
  gateways: readonly RunningGateway[],
  send: (gateway: RunningGateway) => Promise<CallerResponse>,
): Promise<void> {
  for (let i = 0; i < REPEATS; i += 1) {
    await send(gateways[i % gateways.length]!);
    await pause(REPEAT_GAP_MS);
  }
}

/** Reason code of a refusal. */
function codeOf({ body }: CallerResponse): string {
  return JSON.parse(body).error.code;
}

for (const path of ["/look/", "/book/"]) {
  // A plain request that was repeated crashed back end after back end.
  test(`a request to ${path} that crashes replicas stops reaching them at all gateways`, async (t) => {
    const fleet = await startFleet(t);
    const countCrashes = await addCrashingReplicas(fleet, {
      service: "desk",
      count: REPLICAS,
      isFatal: ({ body }) => body === "fatal",
    });
    const gateways = await startGateways(t, fleet);
    const fatal = { method: "POST", body: "fatal" };
    await repeat(gateways, ({ send }) => send(path, fatal));
    t.log(`${countCrashes()} crashes`);
    t.true(countCrashes() <= MAX_CRASHES);
    for (const { send } of gateways) {
      const refused = await send(path, fatal);
      t.is(refused.status, 503);
      t.is(codeOf(refused), "request_quarantined");
      const sound = await send(path, { method: "POST", body: "sound" });
      t.is(sound.status, 200);
    }
  });
}

/** A chat request with a system prompt that others share. */
function chatWith(body: string): ReturnType<typeof chat> {
  const request = chat("m1");
  return {
    ...request,
    body,
    headers: {
      ...request.headers,
      "prompt-prefix": `5a:40,${Buffer.from(body).toString("hex")}:40`,
      "deadline-ms": "1500",
    },
  };
}

// One repeated request that crashed back ends had the requests refused that
// shared its system prompt.
test("sound requests that share a prompt part with a request that crashes replicas are served", async (t) => {
  const fleet = await startFleet(t);
  const countCrashes = await addCrashingReplicas(fleet, {
    service: "pool",
    count: REPLICAS,
    isFatal: ({ body }) => body === "fatal",
    answer: (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1) + event(2));
    },
  });
  const gateways = await startGateways(t, fleet);
  await repeat(gateways, ({ send }) => send("/chat/", chatWith("fatal")));
  t.log(`${countCrashes()} crashes`);
  t.true(countCrashes() <= MAX_CRASHES);
  const sound: CallerResponse[] = [];
  for (let i = 0; i < 14; i += 1) {
    const { send } = gateways[i % GATEWAYS]!;
    sound.push(await send("/chat/", chatWith(`sound ${i}`)));
  }
  t.deepEqual(sound.map(({ status }) => status), sound.map(() => 200));
});

// After a loss of all gateways a request crashed replicas again that had been kept
// away from them.
test("a request that crashes replicas is kept away after a restart of all gateways", async (t) => {
  const fleet = await startFleet(t);
  const countCrashes = await addCrashingReplicas(fleet, {
    service: "desk",
    count: REPLICAS,
    isFatal: ({ body }) => body === "fatal",
  });
  const gateways = await startGateways(t, fleet);
  const fatal = { method: "POST", body: "fatal" };
  await repeat(gateways, ({ send }) => send("/look/", fatal));
  // Time in which the quarantine is stored.
  await pause(1500);
  for (const { gateway } of gateways) await gateway.closeNow();
  const before = countCrashes();
  const { send } = await startGateway(t, fleet, { isFirstStart: false });
  t.is((await send("/look/", { method: "POST", body: "sound" })).status, 200);
  const refusals: number[] = [];
  for (let i = 0; i < REPEATS; i += 1) {
    const { status } = await send("/look/", fatal);
    if (status === 503) refusals.push(status);
  }
  // A request whose guilt isn't certain is tried once.
  t.true(countCrashes() - before <= 1);
  t.is(refusals.length, REPEATS - (countCrashes() - before));
});
