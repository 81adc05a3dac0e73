// A small deployment: a store, replicas, gateways, a configuration, and the
// record of what was sent, answered and run.
import { createWriteStream } from "node:fs";
import { awaitReady, startGateways } from "./gateways.mjs";
import { startReplica } from "./replica.mjs";
import { startStore } from "./store.mjs";

export const HOST = "desk.example";
export const KEY = "key-of-hule930";
export const TIMEOUT_MS = 1000;
export const STREAM_TIMEOUT_MS = 5000;

process.on("uncaughtException", (error) => {
  console.error(error);
  process.exit(2);
});

/** Bounds as on the sheet of dongbu-returns. */
const BOUNDS = {
  graceS: 8,
  leaseMs: 3000,
  retryBudgetRatio: 0.2,
  budgetSlack: 54,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 110_000,
};

function createConfiguration() {
  const route = (name, kind, service, timeoutMs, targetLatencyMs) => ({
    name: `r-${name}`,
    host: HOST,
    prefix: `/${name}/`,
    kind,
    timeoutMs,
    targetLatencyMs,
    priority: 1,
    service,
    maxAttempts: kind === "non_idempotent" ? 1 : 2,
    public: false,
    sticky: service === "pool",
    resumable: kind === "streaming",
    gapAimMs: 400,
  });
  return {
    version: 7,
    routes: [
      route("book", "non_idempotent", "app", TIMEOUT_MS, 193),
      route("look", "safe", "app", TIMEOUT_MS, 193),
      route("chat", "streaming", "pool", STREAM_TIMEOUT_MS, 800),
    ],
    services: [
      { name: "app", healthPath: "/healthz", maxConns: 100, protocol: "h1" },
      {
        name: "pool",
        healthPath: "/healthz",
        maxConns: 360,
        protocol: "h1",
        engine: {
          slots: 64,
          kvCapacityTokens: 234_138,
          models: ["ma", "mb", "mc"].map((name) => ({
            name,
            weightsMb: 72_700,
            loadTimeS: 1.2,
            adapters: 8,
            adapterMb: 66,
          })),
          weightsMb: 220_000,
          adapterSlots: 5,
          loadsPerS: 1.1,
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{
      name: "hule930",
      apiKeys: [KEY],
      priority: 1,
      unit: "tokens",
      plainTokens: 200,
    }],
  };
}

/**
 * Starts a deployment with two gateways, three model replicas and two plain
 * ones. `plans` gives a replica's own answers by its id.
 */
export async function startDeployment(
  { folder, gateways: count = 2, plans = {} },
) {
  const file = createWriteStream(new URL("record.txt", folder));
  const startedAt = performance.now();
  const record = (line) => {
    const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
    file.write(`${seconds.padStart(8)} ${line}\n`);
  };
  const store = await startStore();
  store.put("op", "config", createConfiguration());
  const replicas = new Map();
  const specs = [
    ["i-pool-1", "pool", ["ma", "mb"]],
    ["i-pool-2", "pool", ["ma", "mc"]],
    ["i-pool-3", "pool", ["ma", "mb"]],
    ["i-app-1", "app", []],
    ["i-app-2", "app", []],
  ];
  for (const [id, service, models] of specs) {
    const plan = plans[id];
    replicas.set(
      id,
      await startReplica({ store, id, service, models, record, plan }),
    );
  }
  const fleet = await startGateways({ count, store, bounds: BOUNDS, record });
  const close = () => {
    fleet.close();
    for (const replica of replicas.values()) replica.close();
    store.close();
  };
  process.on("SIGTERM", () => process.exit(2));
  if (!await awaitReady(fleet.gateways)) {
    record("the gateways were not ready in time");
    close();
    await end(file);
    process.exit(2);
  }
  record("all gateways are ready; traffic starts");
  return {
    store,
    replicas,
    gateways: fleet.gateways,
    record,
    /** Ends everything, writes the verdict, and exits with its code. */
    finish: async (isBroken, lines) => {
      close();
      for (const line of lines) {
        record(line);
        console.log(line);
      }
      const verdict = isBroken ? "BROKEN" : "HELD";
      record(verdict);
      console.log(verdict);
      await end(file);
      process.exit(isBroken ? 1 : 0);
    },
  };
}

function end(file) {
  return new Promise((resolve) => file.end(resolve));
}

/** A call on one of the deployment's routes. */
export function createCall(
  route,
  { model, tokens = "800,58", waitMs, body } = {},
) {
  const isStream = route === "chat";
  const timeoutMs = isStream ? STREAM_TIMEOUT_MS : TIMEOUT_MS;
  const wait = waitMs ?? timeoutMs + 2000;
  const headers = {
    Host: HOST,
    Authorization: `Bearer ${KEY}`,
    "Deadline-Ms": String(wait),
  };
  if (isStream) {
    headers["Model"] = model ?? "ma";
    headers["Token-Usage"] = tokens;
    const part = Math.floor(Math.random() * 1e9).toString(16);
    headers["Prompt-Prefix"] = `5c1e07a2:200,${part}:600`;
  }
  return {
    method: route === "look" ? "GET" : "POST",
    path: `/${route}/`,
    headers,
    body: route === "look" ? undefined : body ?? "x".repeat(600),
    waitMs: wait,
  };
}

/**
 * Requests from kept connections that were passed on to a replica and whose
 * connection the gateway closed without an answer (rule LOST).
 */
export function listLost(results, replicas) {
  const passedOn = new Set(
    [...replicas].flatMap(({ arrivals }) => arrivals.map(({ id }) => id)),
  );
  return results.filter((seen) =>
    seen.isKept && seen.status === undefined && seen.leftAt === undefined &&
    passedOn.has(seen.id)
  );
}

/**
 * Requests that were unanswered at their route's time-out, and those of them
 * without an answer half a second later (rule CONFIG).
 */
export function listOverdue(results, timeoutMs = TIMEOUT_MS) {
  const tookMs = (seen) => seen.endedAt - seen.sentAt;
  const unanswered = results.filter((seen) => tookMs(seen) > timeoutMs);
  return {
    unanswered,
    late: unanswered.filter((seen) => tookMs(seen) > timeoutMs + 500),
  };
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
