/**
 * All gateways are killed in the rush of a tenant. Counts the tokens of its
 * requests that are sent and run in any window of the quota.
 */
import {
  BOUNDS,
  runCase,
  send,
  sleep,
  TROUBLE,
} from "../standins-3/deployment.mjs";
import { Replica, streamAfter } from "../standins-3/replica.mjs";
import { Store } from "../standins-3/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-the-tenant";
const RATE_PER_S = 52_656;
const BURST = 68_874;
const PROMPT_TOKENS = 9190;
const OUTPUT_TOKENS = 50;
const COST = PROMPT_TOKENS + OUTPUT_TOKENS;
/** The tenant's usual requests a second, and those of its rush. */
const USUAL_PER_S = RATE_PER_S / 1.8 / COST;
const RUSH_PER_S = 6 * USUAL_PER_S;
const RUSH_MS = 11_000;
const TRAFFIC_MS = 20_000;
/** When the gateways are killed, and started again after that. */
const KILL_AT_MS = 3000;
const DOWN_MS = 1000;
const LOAD_MS = 4000;
const MODEL_MB = 72_700;

/** Models that each replica begins with. */
const HOLDS = [["m1", "m2"], ["m1", "m2"]];

await runCase(new URL(".", import.meta.url), async (deployment) => {
  const store = await Store.start();
  const models = [...new Set(HOLDS.flat())].map((name) => ({
    name,
    weightsMb: MODEL_MB,
    loadTimeS: LOAD_MS / 1000,
    adapters: 0,
    adapterMb: 66,
    warmS: 0.4,
    diskS: 0.52,
  }));
  store.write("op", "config", {
    version: 3,
    routes: [{
      name: "manifest-summary",
      host: HOST,
      prefix: "/summary/",
      kind: "streaming",
      timeoutMs: 5000,
      targetLatencyMs: 800,
      gapAimMs: 400,
      priority: 1,
      service: "model-pool",
      maxAttempts: 2,
      public: false,
      sticky: true,
      resumable: false,
    }],
    services: [{
      name: "model-pool",
      healthPath: "/healthz",
      maxConns: 360,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 64,
        kvCapacityTokens: 2_000_000,
        weightsMb: 220_000,
        adapterSlots: 5,
        loadsPerS: 1.1,
        models,
      },
    }],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{
      name: "tenant-1",
      apiKeys: [KEY],
      priority: 1,
      unit: "tokens",
      plainTokens: 200,
      ratePerS: RATE_PER_S,
      burst: BURST,
    }],
  });
  const all = [];
  for (const [i, holds] of HOLDS.entries()) {
    all.push(
      await Replica.start({
        store,
        id: `i-${i + 1}`,
        service: "model-pool",
        zone: i % 2 === 0 ? "zone-a" : "zone-b",
        models: holds,
        loadMs: LOAD_MS,
        run: streamAfter(60),
      }),
    );
  }
  await deployment.startGateways(2, { store, zones: ["zone-a", "zone-b"] });
  const sentAt = new Map();
  const outcomes = [];
  const pending = [];
  const startedAt = performance.now();
  let dueAt = startedAt;
  const restarted = TROUBLE
    ? sleep(KILL_AT_MS).then(() =>
      deployment.killAndRestart(deployment.gateways, DOWN_MS)
    )
    : Promise.resolve();
  for (let i = 0; performance.now() - startedAt < TRAFFIC_MS; i += 1) {
    const id = `summary-${i}`;
    sentAt.set(id, performance.now());
    const answered = send(deployment.gateways[i % 2], {
      path: `/summary/${i}`,
      body: "{}",
      headers: {
        host: HOST,
        "request-id": id,
        "deadline-ms": "5000",
        authorization: `Bearer ${KEY}`,
        model: "m1",
        "token-usage": `${PROMPT_TOKENS},${OUTPUT_TOKENS}`,
        "prompt-prefix": `a1:6300,${(0x1000 + i).toString(16)}:2890`,
      },
    }).then((answer) => {
      const outcome = answer.status ?? answer.error;
      const tookMs = Math.round(answer.endedAt - answer.sentAt);
      deployment.note(
        `${id}: ${outcome} after ${tookMs} ms ${
          outcome === 200 ? "" : answer.text ?? ""
        }`,
      );
      outcomes.push(outcome);
    });
    pending.push(answered);
    const isRush = performance.now() - startedAt < RUSH_MS;
    dueAt += 1000 / (isRush ? RUSH_PER_S : USUAL_PER_S);
    await sleep(dueAt - performance.now());
  }
  await Promise.all([...pending, restarted]);
  for (const replica of all) replica.close();
  store.close();
  const counts = {};
  for (const outcome of outcomes) counts[outcome] = (counts[outcome] ?? 0) + 1;
  const note = `${outcomes.length} sent, answers ${JSON.stringify(counts)}`;
  deployment.note(note);
  console.log(note);
  const runs = all.flatMap(({ ran }) => ran).map(({ requestId, at }) => ({
    sentAt: sentAt.get(requestId),
    at,
  })).sort((a, b) => a.sentAt - b.sentAt);
  const windowMs = BOUNDS.quotaWindowS * 1000;
  let most = 0;
  let mostAt = 0;
  for (const { sentAt: from } of runs) {
    const tokens = COST *
      runs.filter((run) => run.sentAt >= from && run.at < from + windowMs)
        .length;
    if (tokens <= most) continue;
    most = tokens;
    mostAt = from - startedAt;
  }
  const allowed = (RATE_PER_S * BOUNDS.quotaWindowS + BURST) *
      (1 + BOUNDS.quotaOverage) + BOUNDS.quotaSlack;
  const sum = `most in 8 s: ${most} tokens, from ${Math.round(mostAt)} ms; ` +
    `allowed: ${Math.round(allowed)}`;
  deployment.note(sum);
  console.log(sum);
  if (runs.length < 50) throw new Error("too little was run");
  return most > allowed ? `QUOTA: ${sum}` : undefined;
});
