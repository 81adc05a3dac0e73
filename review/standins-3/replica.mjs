/**
 * A replica as PROTOCOL.md describes it: it registers itself in the store, checks
 * `Expect-Instance` and `Model`, reports, takes orders to load and unload models,
 * and answers what it runs.
 */
import { createServer } from "node:http";

const HEARTBEAT_MS = 1200;

export class Replica {
  /** Requests that it ran, with the time at which it began. */
  ran = [];
  /** Everything that arrived, with the time. */
  arrived = [];
  /** Orders that it accepted. */
  orders = [];
  #options;
  #store;
  #models;
  #busy = false;
  #server;
  #born = Date.now();
  #seq = 0;
  #state = "ready";
  #heartbeat;

  constructor(options) {
    this.#options = options;
    this.#store = options.store;
    this.#models = new Set(options.models ?? []);
  }

  /**
   * Options: `store`, `id`, `service`, `zone`, `slots`, `models`, `loadMs`,
   * `headers` (sent with each answer), `intercept` (may answer a request without
   * running it) and `run` (answers one that it runs).
   */
  static async start(options) {
    const replica = new Replica(options);
    await replica.#listen(options.port ?? 0);
    return replica;
  }

  get id() {
    return this.#options.id;
  }

  get port() {
    return this.#server.address().port;
  }

  get models() {
    return this.#models;
  }

  async #listen(port) {
    this.#server = createServer((req, res) => {
      // The caller may close the connection in the middle of its call.
      this.#handle(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, "127.0.0.1", resolve);
    });
    this.#beat();
    this.#heartbeat = setInterval(() => this.#beat(), HEARTBEAT_MS);
  }

  /** Reports that it is draining, and serves on. Returns when that was stored. */
  drain() {
    this.#state = "draining";
    this.#beat();
    return performance.now();
  }

  /** Ends like a crash: all connections are reset, and nothing is said. */
  crash() {
    clearInterval(this.#heartbeat);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  close() {
    this.crash();
  }

  #describe() {
    return [...this.#models].map((name) => ({
      name,
      version: 1,
      adapters: [],
    }));
  }

  #beat() {
    const { service, zone, slots = 64 } = this.#options;
    this.#seq += 1;
    this.#store.write("servers", this.id, {
      service,
      address: `127.0.0.1:${this.port}`,
      zone,
      version: "v1",
      slots,
      state: this.#state,
      coldLeftMs: 0,
      born: this.#born,
      seq: this.#seq,
      ...(this.#options.models ? { models: this.#describe() } : {}),
    });
  }

  async #handle(req, res) {
    const at = performance.now();
    res.on("error", () => {});
    const body = await readBody(req);
    const { headers, url, method } = req;
    const expected = headers["expect-instance"];
    const requestId = headers["request-id"];
    this.arrived.push({ at, requestId, url });
    for (const [name, value] of Object.entries(this.#options.headers ?? {})) {
      res.setHeader(name, value);
    }
    if (requestId !== undefined) res.setHeader("request-id", requestId);
    if (expected !== undefined && expected !== this.id) {
      return void res.writeHead(421).end();
    }
    if (url === "/v1/report") return this.#report(res);
    if (url === "/v1/order") return this.#order(JSON.parse(body), res);
    if (url === "/healthz") {
      const status = this.#state === "ready" ? 200 : 503;
      return void res.writeHead(status, { "instance-id": this.id }).end();
    }
    if (requestId === undefined) {
      return void res.writeHead(400, { "not-executed": "1" }).end();
    }
    const model = headers.model?.split("/")[0];
    if (model !== undefined && !this.#models.has(model)) {
      return void res.writeHead(421).end();
    }
    const request = { at, requestId, method, url, headers, body };
    if (this.#options.intercept?.(request, res)) return;
    this.ran.push({ ...request, at: performance.now() });
    res.setHeader("response-stamp", `stamp-of-${this.id}`);
    await this.#options.run(request, res);
  }

  #report(res) {
    res.writeHead(200, { "content-type": "application/json" });
    res.end(JSON.stringify({
      stage: "colocated",
      models: this.#describe(),
      busy: this.#busy,
      seq: this.orders.length,
      born: this.#born,
      waiting: 0,
      running: 0,
      kvUsed: 0,
      kvTotal: 234_138,
      handles: 0,
    }));
  }

  #order({ operation, model, expected, holder, fencingToken }, res) {
    const known = operation === "load" || operation === "unload";
    if (!known || holder === undefined || fencingToken === undefined) {
      return void res.writeHead(400).end();
    }
    const isStale = expected !== undefined && expected !== this.orders.length;
    if (this.#busy || isStale) return void res.writeHead(409).end();
    this.orders.push({ at: performance.now(), operation, model, holder });
    if (this.#models.has(model) === (operation === "load")) {
      return void res.writeHead(200).end();
    }
    res.writeHead(202).end();
    if (operation === "unload") {
      this.#models.delete(model);
      return;
    }
    this.#busy = true;
    setTimeout(() => {
      this.#busy = false;
      this.#models.add(model);
    }, this.#options.loadMs ?? 1200);
  }
}

/** Answers 200 with a body of 800 bytes after a time. */
export function answerAfter(ms) {
  return (_request, res) => {
    setTimeout(() => {
      res.writeHead(200, { "content-length": "800" });
      res.end("x".repeat(800));
    }, ms);
  };
}

/** Streams events, the first after a time and the others at a pace. */
export function streamAfter(ms, { events = 10, paceMs = 20 } = {}) {
  return async (_request, res) => {
    await new Promise((resolve) => setTimeout(resolve, ms));
    res.writeHead(200, { "content-type": "text/event-stream" });
    for (let id = 1; id <= events && !res.destroyed; id += 1) {
      res.write(`id: ${id}\ndata: piece ${id}\n\n`);
      await new Promise((resolve) => setTimeout(resolve, paceMs));
    }
    res.end();
  };
}

async function readBody(req) {
  let text = "";
  try {
    for await (const piece of req) text += piece;
  } catch {
    // The caller closed the connection.
  }
  return text;
}
