// A faulty replica answers one stream of each gateway with bytes without end
// that are no events, in small chunks, until the gateway closes.
import {
  createCall,
  listOverdue,
  sleep,
  startDeployment,
  STREAM_TIMEOUT_MS,
  TIMEOUT_MS,
} from "../standins/deployment.mjs";
import { send } from "../standins/callers.mjs";
import { isReady } from "../standins/gateways.mjs";
import { describeServed, startTraffic } from "../standins/traffic.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const CALM_MS = 6000;
const TROUBLE_MS = 20_000;
const CHUNK = "x".repeat(8);
const CHUNKS_PER_S = 20_000;
/** Ids of the two streams whose answers are spoilt. */
const spoiltIds = new Set();

/** Sends small chunks at a steady rate until the connection is closed. */
async function answerWithoutEnd({ req, res }) {
  const requestId = req.headers["request-id"];
  res.writeHead(200, {
    "request-id": requestId,
    "response-stamp": `stamp-${requestId}`,
    "content-type": "text/event-stream",
  });
  let sent = 0;
  const startedAt = performance.now();
  while (!res.destroyed) {
    const due = CHUNKS_PER_S * (performance.now() - startedAt) / 1000;
    let hasRoom = true;
    while (sent < due && hasRoom) {
      hasRoom = res.write(CHUNK);
      sent += 1;
    }
    if (hasRoom) await sleep(5);
    else {
      await new Promise((resolve) => {
        res.once("drain", resolve);
        res.once("close", resolve);
      });
    }
  }
  deployment.record(
    `${requestId}: the gateway closed after ${sent} chunks of 8 bytes, ` +
      `${Math.round(performance.now() - startedAt)} ms`,
  );
}

const plan = (req) =>
  HAS_TROUBLE && spoiltIds.has(req.headers["request-id"])
    ? answerWithoutEnd
    : undefined;
const plans = Object.fromEntries(
  ["i-pool-1", "i-pool-2", "i-pool-3"].map((id) => [id, plan]),
);

const deployment = await startDeployment({
  folder: new URL("./", import.meta.url),
  plans,
});
const { gateways, record } = deployment;
const traffic = startTraffic(deployment);
await sleep(CALM_MS);
const changedAt = performance.now();
record("one stream of each gateway gets an answer without end");
const marked = gateways.map((gateway) =>
  send(gateway, createCall("chat"), {
    record,
    onStart: (id) => spoiltIds.add(id),
  })
);
let checks = 0;
let misses = 0;
const until = performance.now() + TROUBLE_MS;
while (performance.now() < until) {
  for (const ready of await Promise.all(gateways.map(isReady))) {
    checks += 1;
    if (!ready) misses += 1;
  }
  await sleep(1000);
}
await Promise.all(marked);
await traffic.stop();

const results = traffic.results.filter(({ sentAt }) => sentAt >= changedAt);
const plain = results.filter(({ call }) => !call.path.startsWith("/chat/"));
const streams = results.filter(({ call }) => call.path.startsWith("/chat/"));
const overdue = listOverdue(plain, TIMEOUT_MS);
const overdueStreams = listOverdue(streams, STREAM_TIMEOUT_MS);
const unanswered = overdue.unanswered.length + overdueStreams.unanswered.length;
const late = overdue.late.length + overdueStreams.late.length;
const before = traffic.results.filter(({ sentAt }) => sentAt < changedAt);
await deployment.finish(late >= 8 && late > unanswered / 2, [
  describeServed(before, "other requests before"),
  describeServed(results, "other requests afterwards"),
  `readiness checks missed: ${misses} of ${checks}`,
  `CONFIG: of ${unanswered} requests to sound replicas that were unanswered at ` +
  `their route's timeoutMs, ${late} had no answer half a second later (eight ` +
  "or more, and more than half, break the rule)",
]);
