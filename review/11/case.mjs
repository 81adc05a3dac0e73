/**
 * A replica drains while a gateway has more streams for it than connections to
 * it. Looks for requests that reach the replica too late.
 */
import { runCase, send, sleep, TROUBLE } from "../standins-3/deployment.mjs";
import { Replica, streamAfter } from "../standins-3/replica.mjs";
import { Store } from "../standins-3/store.mjs";

const HOST = "desk.example";
const KEY = "key-of-the-tenant";
const DRAIN_MS = 2000;
const GATEWAYS = 5;
const STREAMS = 16;
/** Models of the replicas, of which one drains. */
const HOLDS = [["rare", "m1"], ...Array(6).fill(["m1"])];

await runCase(new URL(".", import.meta.url), async (deployment) => {
  const store = await Store.start();
  const models = ["rare", "m1"].map((name) => ({
    name,
    weightsMb: 72_700,
    loadTimeS: 4,
    adapters: 0,
    adapterMb: 66,
    warmS: 0.4,
    diskS: 0.52,
  }));
  store.write("op", "config", {
    version: 3,
    routes: [{
      name: "crew-chat",
      host: HOST,
      prefix: "/chat/",
      kind: "streaming",
      timeoutMs: 15_000,
      targetLatencyMs: 500,
      gapAimMs: 400,
      priority: 0,
      service: "model-pool",
      maxAttempts: 1,
      public: false,
      sticky: true,
      resumable: false,
    }],
    services: [{
      name: "model-pool",
      healthPath: "/healthz",
      maxConns: 50,
      protocol: "h1",
      tls: false,
      engine: {
        slots: 24,
        kvCapacityTokens: 234_138,
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
      ratePerS: 53_175,
      burst: 68_874,
    }],
  });
  const replicas = [];
  for (const [i, holds] of HOLDS.entries()) {
    replicas.push(
      await Replica.start({
        store,
        id: `i-${i + 1}`,
        service: "model-pool",
        zone: "zone-a",
        slots: 24,
        models: holds,
        loadMs: 4000,
        run: streamAfter(60, { events: 60, paceMs: 50 }),
      }),
    );
  }
  await deployment.startGateways(GATEWAYS, { store });
  await sleep(2500);
  // The gateways have heard of each other, and share the connections.
  const [gateway] = deployment.gateways;
  const pending = [];
  let served = 0;
  for (let i = 0; i < STREAMS; i += 1) {
    const id = `chat-${i}`;
    pending.push(
      send(gateway, {
        path: `/chat/${i}`,
        body: "{}",
        headers: {
          host: HOST,
          "request-id": id,
          "deadline-ms": "15000",
          authorization: `Bearer ${KEY}`,
          model: "rare",
          "token-usage": "826,290",
          "prompt-prefix": `a1:198,${(0x1000 + i).toString(16)}:628`,
        },
      }).then((answer) => {
        const tookMs = Math.round(answer.endedAt - answer.sentAt);
        const outcome = answer.status ?? answer.error;
        deployment.note(`${id}: ${outcome} after ${tookMs} ms`);
        if (outcome === 200) served += 1;
      }),
    );
    await sleep(10);
  }
  const [draining] = replicas;
  let ackAt;
  if (TROUBLE) {
    ackAt = draining.drain();
    deployment.note("i-1 is draining");
  }
  await Promise.all(pending);
  const late = draining.arrived.filter(({ at, requestId }) =>
    requestId !== undefined && ackAt !== undefined && at > ackAt + DRAIN_MS
  );
  for (const { at, requestId } of draining.arrived) {
    if (requestId === undefined || ackAt === undefined) continue;
    const afterMs = Math.round(at - ackAt);
    deployment.note(`${requestId} reached i-1 ${afterMs} ms after it drained`);
  }
  const note =
    `${STREAMS} sent, ${served} served, ${draining.ran.length} run ` +
    `at i-1, ${late.length} of them late`;
  deployment.note(note);
  console.log(note);
  for (const replica of replicas) replica.close();
  store.close();
  if (served < STREAMS / 4) throw new Error("too little was served");
  return late.length > 0
    ? `DRAIN: ${late.length} requests reached i-1 later than drainMs`
    : undefined;
});
