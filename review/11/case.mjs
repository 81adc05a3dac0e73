/**
 * Callers that send requests ahead on one connection, the head of the second one
 * slowly. Looks for bookings that are answered 408 and have run.
 */
import { connect } from "node:net";
import { runCase, sleep, TROUBLE } from "../standins-3/deployment.mjs";
import { Replica } from "../standins-3/replica.mjs";
import { Store } from "../standins-3/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-the-tenant";
/** Time that a booking takes, and after which one follows the other, in ms. */
const WORK_MS = 6000;
const GAP_MS = 500;
const TRAFFIC_MS = 36_000;

await runCase(new URL(".", import.meta.url), async (deployment) => {
  const store = await Store.start();
  store.write("op", "config", {
    version: 3,
    routes: [{
      name: "credit-post",
      host: HOST,
      prefix: "/credit/",
      kind: "non_idempotent",
      timeoutMs: 15_000,
      targetLatencyMs: 8000,
      priority: 2,
      service: "returns-app",
      maxAttempts: 1,
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
  const completed = new Map();
  const replica = await Replica.start({
    store,
    id: "i-1",
    service: "returns-app",
    zone: "zone-a",
    slots: 64,
    run: ({ requestId }, res) => {
      setTimeout(() => {
        completed.set(requestId, performance.now());
        res.writeHead(200, { "content-length": "2" }).end("ok");
      }, WORK_MS);
    },
  });
  await deployment.startGateways(1, { store });
  const [gateway] = deployment.gateways;
  const answers = new Map();
  const sockets = [];
  const startedAt = performance.now();
  for (let i = 0; performance.now() - startedAt < TRAFFIC_MS; i += 1) {
    const id = `credit-${i}`;
    const socket = connect({ host: gateway.host, port: gateway.port });
    sockets.push(socket);
    let text = "";
    socket.on("data", (piece) => {
      text += piece;
      if (answers.has(id)) return;
      const [, status] = /^HTTP\/1\.1 (\d+)/.exec(text) ?? [];
      if (status === undefined) return;
      answers.set(id, Number(status));
      deployment.note(`${id}: ${text.replaceAll("\r\n", " | ")}`);
      if (!TROUBLE) socket.end();
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      if (!answers.has(id)) deployment.note(`${id}: closed`);
    });
    socket.write(
      `POST /credit/${i} HTTP/1.1\r\nHost: ${HOST}\r\nRequest-Id: ${id}\r\n` +
        `Deadline-Ms: 15000\r\nAuthorization: Bearer ${KEY}\r\n` +
        "Content-Length: 2\r\n\r\nok",
    );
    if (TROUBLE) {
      socket.write(`POST /credit/next HTTP/1.1\r\nHost: ${HOST}\r\n`);
    }
    await sleep(GAP_MS);
  }
  await sleep(WORK_MS + 1000);
  for (const socket of sockets) socket.destroy();
  await sleep(300);
  const ran = new Set(replica.ran.map(({ requestId }) => requestId));
  const counts = {};
  for (const status of answers.values()) {
    counts[status] = (counts[status] ?? 0) + 1;
  }
  const note = `${sockets.length} sent, ${ran.size} run, ` +
    `answers ${JSON.stringify(counts)}`;
  deployment.note(note);
  console.log(note);
  const lies = [...answers].filter(([id, status]) =>
    [408, 421, 429, 503].includes(status) && ran.has(id)
  );
  for (const [id, status] of lies) {
    const end = completed.has(id) ? "to its end" : "until it was cut off";
    deployment.note(`${id} was answered ${status} and ran ${end}`);
  }
  replica.close();
  store.close();
  if (ran.size < sockets.length / 4) throw new Error("too little was run");
  return lies.length > 0
    ? `REFUSED: ${lies.length} bookings were answered 408 and have run`
    : undefined;
});
