// One of two replicas of a service is faulty for five seconds: it turns a few
// requests away with Not-Executed and a body without end, until the gateway
// closes.
import {
  createCall,
  listOverdue,
  sleep,
  startDeployment,
  TIMEOUT_MS,
} from "../standins/deployment.mjs";
import { describeServed, startTraffic } from "../standins/traffic.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";
const CALM_MS = 4000;
const TROUBLE_MS = 5000;
const AFTER_MS = 12_000;
/** Share of the answers of the faulty replica that are spoilt. */
const SPOILT_SHARE = 0.05;
const PIECE = "x".repeat(256);
const PIECE_GAP_MS = 50;

let isFaulty = false;
const spoilt = new Map();

function planSpoilt(req) {
  if (!isFaulty || Math.random() >= SPOILT_SHARE) return undefined;
  return async ({ res }) => {
    const id = req.headers["request-id"];
    const startedAt = performance.now();
    spoilt.set(id, undefined);
    deployment.record(`i-app-1 answers ${id} with 503 and a body without end`);
    res.writeHead(503, { "request-id": id, "not-executed": "1" });
    while (!res.destroyed) {
      res.write(PIECE);
      await sleep(PIECE_GAP_MS);
    }
    spoilt.set(id, performance.now() - startedAt);
  };
}

const deployment = await startDeployment({
  folder: new URL("./", import.meta.url),
  plans: { "i-app-1": planSpoilt },
});
const traffic = startTraffic(deployment, {
  clients: 48,
  next: () =>
    createCall(Math.random() < 0.8 ? "book" : "look", { waitMs: 8000 }),
});
await sleep(CALM_MS);
isFaulty = HAS_TROUBLE;
await sleep(TROUBLE_MS);
isFaulty = false;
await sleep(AFTER_MS);
await traffic.stop();

const { results } = traffic;
const { unanswered, late } = listOverdue(results, TIMEOUT_MS);
const never = late.filter(({ leftAt }) => leftAt !== undefined);
await deployment.finish(
  late.length >= 4 && late.length > unanswered.length / 2,
  [
    describeServed(results, "all requests"),
    `answers with a body without end: ${spoilt.size}`,
    `CONFIG: of ${unanswered.length} requests that were unanswered at their ` +
    `route's timeoutMs, ${late.length} had no answer half a second later (four ` +
    "or more, and more than half, count as broken); " +
    `${never.length} had none when the client left after 8 s`,
  ],
);
