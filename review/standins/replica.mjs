// Stand-in for a replica: requests, reports and orders as the pages tell them.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;
const REPORT_AGE_MS = 300;
const ADAPTER_LOAD_MS = 8;
const KV_TOKENS = 234_138;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Starts a replica that registers itself. `plan(req)` may return a function
 * that takes over the answer to a request; it gets `{ req, res, body, run }`.
 */
export async function startReplica(options) {
  const { store, id, service, record, slots = 64 } = options;
  const { models = [], loadMs = 400, plan = () => undefined } = options;
  const resident = new Set(models);
  /** Ids of the requests that arrived, and when. */
  const arrivals = [];
  const runs = [];
  const born = Date.now();
  let isBusy = false;
  let orders = 0;
  let running = 0;
  const states = [];

  function listModels() {
    const names = [...resident].filter((name) => !name.includes("/"));
    return names.map((name) => ({
      name,
      version: 1,
      adapters: [...resident]
        .filter((each) => each.startsWith(`${name}/`))
        .map((each) => each.slice(name.length + 1)),
    }));
  }

  function remember() {
    states.push({
      at: performance.now(),
      models: listModels(),
      busy: isBusy,
      seq: orders,
    });
  }

  function report() {
    const until = performance.now() - REPORT_AGE_MS;
    while (states.length > 1 && states[1].at <= until) states.shift();
    const { models, busy, seq } = states[0];
    return {
      stage: "colocated",
      models,
      busy,
      seq,
      born,
      waiting: 0,
      running,
      kvUsed: 0,
      kvTotal: KV_TOKENS,
      handles: 0,
    };
  }

  function order(body) {
    const { operation, model, adapter, expected, holder, fencingToken } = body;
    if (!holder || fencingToken === undefined) return 400;
    if (isBusy) return 409;
    if (expected !== undefined && expected !== orders) return 409;
    const name = adapter === undefined ? model : `${model}/${adapter}`;
    orders += 1;
    if (operation === "unload") {
      for (const each of [...resident]) {
        if (each === name || each.startsWith(`${name}/`)) resident.delete(each);
      }
      remember();
      return adapter === undefined ? 202 : 200;
    }
    if (operation !== "load") return 400;
    if (resident.has(name)) {
      remember();
      return 200;
    }
    isBusy = adapter === undefined;
    remember();
    setTimeout(() => {
      isBusy = false;
      resident.add(name);
      remember();
    }, adapter === undefined ? loadMs : ADAPTER_LOAD_MS).unref();
    return 202;
  }

  async function run({ req, res, body }) {
    const requestId = req.headers["request-id"];
    const { model } = req.headers;
    if (model !== undefined && !resident.has(model)) {
      res.writeHead(421, { "request-id": requestId, "instance-id": id }).end();
      return;
    }
    const [prompt = 0, output = 0] = (req.headers["token-usage"] ?? "")
      .split(",").map(Number);
    if (prompt + output > KV_TOKENS) {
      // Larger than the memory: rejected as if the replica were full.
      res.writeHead(503, { "request-id": requestId, "not-executed": "1" })
        .end();
      return;
    }
    runs.push({ id: requestId, method: req.method, target: req.url, body });
    running += 1;
    res.on("close", () => running -= 1);
    const head = {
      "request-id": requestId,
      "response-stamp": `stamp-${id}-${requestId}`,
      "server-load": `${running},0,${slots}`,
    };
    const isStream = model !== undefined;
    const { workMs = 85, firstMs = 500, events = 10, gapMs = 60 } = options;
    if (!isStream) {
      await sleep(workMs);
      if (res.destroyed) return;
      const answer = `answer to ${requestId} `.padEnd(800, ".");
      res.writeHead(200, { ...head, "content-length": answer.length });
      res.end(answer);
      return;
    }
    await sleep(firstMs);
    if (res.destroyed) return;
    res.writeHead(200, { ...head, "content-type": "text/event-stream" });
    const first = Number(req.headers["last-event-id"] ?? 0) + 1;
    for (let i = first; i <= events; i += 1) {
      if (res.destroyed) return;
      res.write(`id: ${i}\ndata: ${requestId} piece ${i} of ${events}\n\n`);
      if (i < events) await sleep(gapMs);
    }
    res.end();
  }

  const server = createServer(async (req, res) => {
    res.on("error", () => {});
    let body = "";
    try {
      for await (const chunk of req) body += chunk;
    } catch {
      return;
    }
    const expected = req.headers["expect-instance"];
    if (expected !== undefined && expected !== id) {
      res.writeHead(421, { "instance-id": id }).end();
      return;
    }
    if (req.url === "/v1/report") {
      res.end(JSON.stringify(report()));
      return;
    }
    if (req.url === "/v1/order") {
      res.writeHead(order(JSON.parse(body))).end();
      return;
    }
    if (req.url === "/healthz") {
      res.writeHead(200, { "instance-id": id }).end();
      return;
    }
    const requestId = req.headers["request-id"];
    arrivals.push({ id: requestId, at: performance.now() });
    record(`replica ${id} got ${requestId} ${req.method} ${req.url}`);
    const takeOver = plan(req);
    const context = { req, res, body, run: () => run({ req, res, body }) };
    if (takeOver) await takeOver(context);
    else await context.run();
  });
  server.keepAliveTimeout = 30_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${server.address().port}`;

  function beat() {
    store.put("servers", id, {
      service,
      address,
      zone: options.zone ?? "zone-a",
      version: "v1",
      slots,
      state: "ready",
      coldLeftMs: 0,
      stage: "colocated",
      models: listModels(),
      seq: orders,
      born,
    });
  }
  remember();
  beat();
  const timer = setInterval(beat, HEARTBEAT_MS);
  return {
    id,
    arrivals,
    runs,
    resident,
    close: () => {
      clearInterval(timer);
      server.closeAllConnections();
      server.close();
    },
  };
}
