/**
 * A replica in need names a limit with more than nine decimals. Counts what
 * reaches it from gateways that have passed on such an answer.
 */
import {
  BOUNDS,
  runCase,
  send,
  sleep,
  TROUBLE,
} from "../standins-3/deployment.mjs";
import { answerAfter, Replica } from "../standins-3/replica.mjs";
import { Store } from "../standins-3/store.mjs";

/** 20 requests in 3 s. */
const RATE = 20 / 3;
/** With DIGITS=3 the same limit is named with three decimals. */
const LIMIT = process.env.DIGITS === undefined
  ? String(RATE)
  : RATE.toFixed(Number(process.env.DIGITS));
const HOST = "desk.example";
const KEY = "key-of-the-tenant";
const REQUESTS_PER_S = 40;
const TRAFFIC_MS = 14_000;
const WINDOW_MS = 4000;
const PASSED_ON_MS = 500;

await runCase(new URL(".", import.meta.url), async (deployment) => {
  const store = await Store.start();
  store.write("op", "config", {
    version: 3,
    routes: [{
      name: "stock-lookup",
      host: HOST,
      prefix: "/stock/",
      kind: "safe",
      timeoutMs: 1000,
      targetLatencyMs: 193,
      priority: 2,
      service: "returns-app",
      maxAttempts: 2,
      public: false,
    }],
    services: [{
      name: "returns-app",
      healthPath: "/healthz",
      maxConns: 100,
      protocol: "h1",
      tls: false,
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
      ratePerS: 53_175,
      burst: 68_874,
    }],
  });
  let firstNamedAt;
  const named = TROUBLE ? { "server-limit": LIMIT } : {};
  const replicas = [];
  for (const [i, zone] of ["zone-a", "zone-b"].entries()) {
    replicas.push(
      await Replica.start({
        store,
        id: `i-${i + 1}`,
        service: "returns-app",
        zone,
        slots: 6,
        headers: i === 0 ? named : {},
        run: answerAfter(40),
      }),
    );
  }
  const [limited] = replicas;
  await deployment.startGateways(2, { store, zones: ["zone-a", "zone-b"] });
  if (TROUBLE) deployment.note(`i-1 names Server-Limit: ${LIMIT}`);
  /** When each gateway first passed on an answer that names the limit. */
  const passedOnAt = new Map();
  const gatewayOf = new Map();
  const pending = [];
  const startedAt = performance.now();
  for (let i = 0; performance.now() - startedAt < TRAFFIC_MS; i += 1) {
    const gateway = deployment.gateways[i % 2];
    const id = `lookup-${i}`;
    gatewayOf.set(id, gateway.name);
    const headers = {
      host: HOST,
      "request-id": id,
      "deadline-ms": "1000",
      authorization: `Bearer ${KEY}`,
    };
    const answered = send(gateway, {
      method: "GET",
      path: `/stock/${i}`,
      headers,
    }).then((answer) => {
      if (answer.headers?.["server-limit"] !== undefined) {
        firstNamedAt ??= answer.endedAt;
        if (!passedOnAt.has(gateway.name)) {
          passedOnAt.set(gateway.name, answer.endedAt);
        }
      }
      const outcome = answer.status ?? answer.error;
      deployment.note(`${id} by ${gateway.name}: ${outcome}`);
      return outcome;
    });
    pending.push(answered);
    await sleep(
      startedAt + (i + 1) * 1000 / REQUESTS_PER_S - performance.now(),
    );
  }
  const outcomes = await Promise.all(pending);
  const served = outcomes.filter((outcome) => outcome === 200).length;
  const note = `${outcomes.length} sent, ${served} served, ` +
    replicas.map(({ id, ran }) => `${ran.length} run at ${id}`).join(", ");
  deployment.note(note);
  console.log(note);
  for (const replica of replicas) replica.close();
  store.close();
  if (served < outcomes.length / 4) throw new Error("too little was served");
  if (firstNamedAt === undefined) return undefined;
  const counted = limited.arrived.filter(({ at, requestId }) => {
    const passedAt = passedOnAt.get(gatewayOf.get(requestId));
    return at >= firstNamedAt + BOUNDS.contactMs && passedAt !== undefined &&
      at >= passedAt + PASSED_ON_MS;
  }).map(({ at }) => at);
  const most = Math.max(
    0,
    ...counted.map((from) =>
      counted.filter((at) => at >= from && at < from + WINDOW_MS).length
    ),
  );
  const allowed = 1.5 * RATE * WINDOW_MS / 1000 + 5;
  deployment.note(`most in 4 s: ${most}; allowed: ${allowed}`);
  return most > allowed
    ? `LIMIT: ${most} requests reached i-1 in 4 s, allowed ${allowed}`
    : undefined;
});
