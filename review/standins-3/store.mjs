/**
 * The platform's metadata store as PROTOCOL.md describes it, as far as a gateway
 * uses it: `rows-get`, `rows-feed`, `rows-tx` and `rows-parts`.
 */
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_WAIT_MS = 30_000;

export class Store {
  #rows = new Map();
  #history = [];
  #waiting = new Set();
  #ver = 1;
  #server;

  static async start() {
    const store = new Store();
    store.#server = createServer((req, res) => {
      setTimeout(() => {
        // The caller may close the connection in the middle of its call.
        store.#handle(req, res).catch(() => res.destroy());
      }, ANSWER_MS);
    });
    await new Promise((resolve) => {
      store.#server.listen(0, "127.0.0.1", resolve);
    });
    return store;
  }

  get address() {
    return `127.0.0.1:${this.#server.address().port}`;
  }

  close() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Writes a row as the operator or a replica does; returns its version. */
  write(table, key, value) {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#ver += 1;
    this.#put({ table, part: "", key, value: text, ver: this.#ver });
    this.#wake();
    return this.#ver;
  }

  /** Removes a row. */
  remove(table, key) {
    this.#ver += 1;
    this.#drop({ table, part: "", key }, this.#ver);
    this.#wake();
  }

  #put(row) {
    this.#rows.set(idOf(row), row);
    this.#history.push(row);
  }

  #drop({ table, part, key }, ver) {
    this.#rows.delete(idOf({ table, part, key }));
    this.#history.push({ table, part, key, ver, tombstone: true });
  }

  #wake() {
    for (const look of [...this.#waiting]) look();
  }

  async #handle(req, res) {
    const url = new URL(req.url, "http://store");
    const query = Object.fromEntries(url.searchParams);
    switch (`${req.method} ${url.pathname}`) {
      case "GET /v1/rows-get":
        return this.#get(query, res);
      case "GET /v1/rows-feed":
        return this.#feed(query, res);
      case "GET /v1/rows-parts":
        return this.#answer(res, 200, { parts: [""], hasMore: false });
      case "POST /v1/rows-tx":
        return this.#transact(JSON.parse(await readText(req)), res);
      default:
        return this.#answer(res, 404, {});
    }
  }

  #get({ table, part = "", from = "", to, limit = "500" }, res) {
    const found = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === undefined || key < to))
      .sort((a, b) => Buffer.compare(Buffer.from(a.key), Buffer.from(b.key)));
    const most = Math.min(500, Number(limit));
    this.#answer(res, 200, {
      rows: found.slice(0, most),
      hasMore: found.length > most,
    });
  }

  #feed({ table, after, waitMs = "0" }, res) {
    const find = () =>
      this.#history.filter((row) =>
        row.table === table && row.ver > Number(after)
      );
    const end = () => {
      clearTimeout(timer);
      this.#waiting.delete(look);
      this.#answer(res, 200, { rows: find() });
    };
    const look = () => {
      if (find().length > 0) end();
    };
    const timer = setTimeout(end, Math.min(MAX_WAIT_MS, Number(waitMs)));
    this.#waiting.add(look);
    res.once("close", () => {
      clearTimeout(timer);
      this.#waiting.delete(look);
    });
    look();
  }

  #transact({ expected = [], setKeys = [], remove = [] }, res) {
    const verOf = (row) => this.#rows.get(idOf(row))?.ver ?? 0;
    if (expected.some((row) => verOf(row) !== row.ver)) {
      const rows = expected.map(({ table, part, key }) =>
        this.#rows.get(idOf({ table, part, key })) ??
          { table, part, key, ver: 0, tombstone: true }
      );
      return this.#answer(res, 412, { rows });
    }
    this.#ver += 1;
    const ver = this.#ver;
    for (const { table, part, key, value } of setKeys) {
      this.#put({ table, part, key, value, ver });
    }
    for (const row of remove) this.#drop(row, ver);
    this.#answer(res, 200, {});
    this.#wake();
  }

  #answer(res, status, body) {
    const nowMs = Math.round(performance.now());
    res.writeHead(status, {
      "content-type": "application/json",
      "store-era": "1",
    });
    res.end(JSON.stringify({ ver: this.#ver, nowMs, ...body }));
  }
}

function idOf({ table, part, key }) {
  return JSON.stringify([table, part, key]);
}

async function readText(stream) {
  let text = "";
  for await (const piece of stream) text += piece;
  return text;
}
