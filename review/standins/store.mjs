// Stand-in for the platform's metadata store: rows, feeds and transactions.
import { createServer } from "node:http";

const ANSWER_MS = 4;
const MAX_WAIT_MS = 30_000;
const MAX_ROWS = 500;

/** Starts a store on a free port of 127.0.0.1. */
export async function startStore() {
  const rows = new Map();
  const changes = [];
  const waiters = new Set();
  let ver = 1;

  const idOf = ({ table, part, key }) => JSON.stringify([table, part, key]);

  function record(row) {
    changes.push(row);
    if (row.value === undefined) rows.delete(idOf(row));
    else rows.set(idOf(row), row);
  }

  function wake() {
    for (const waiter of [...waiters]) waiter();
  }

  function describe({ table, part, key, value, ver }) {
    return value === undefined
      ? { table, part, key, ver, tombstone: true }
      : { table, part, key, value, ver };
  }

  /** Writes a row as the operator, a replica or another writer does. */
  function put(table, key, value) {
    ver += 1;
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    record({ table, part: "", key, value: text, ver });
    wake();
  }

  function remove(table, key) {
    ver += 1;
    record({ table, part: "", key, value: undefined, ver });
    wake();
  }

  function read(query) {
    const table = query.get("table") ?? "";
    const part = query.get("part") ?? "";
    const from = query.get("from") ?? "";
    const to = query.get("to");
    const limit = Math.min(Number(query.get("limit") ?? MAX_ROWS), MAX_ROWS);
    const found = [...rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === null || key < to))
      .sort((a, b) => a.key < b.key ? -1 : 1);
    return {
      rows: found.slice(0, limit).map(describe),
      hasMore: found.length > limit,
      ver,
    };
  }

  function changedSince(table, after) {
    const last = new Map();
    for (const row of changes) {
      if (row.table !== table || row.ver <= after) continue;
      last.delete(idOf(row));
      last.set(idOf(row), row);
    }
    return [...last.values()].map(describe);
  }

  async function feed(query, res) {
    const table = query.get("table") ?? "";
    const after = Number(query.get("after"));
    const waitMs = Math.min(Number(query.get("waitMs") ?? 0), MAX_WAIT_MS);
    if (after > ver) return send(res, 410, {});
    const until = performance.now() + waitMs;
    while (true) {
      const changed = changedSince(table, after);
      const leftMs = until - performance.now();
      if (changed.length > 0 || leftMs <= 0) {
        return send(res, 200, { rows: changed, ver });
      }
      if (res.destroyed) return;
      await new Promise((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          waiters.delete(finish);
          res.off("close", finish);
          resolve();
        };
        const timer = setTimeout(finish, leftMs);
        waiters.add(finish);
        res.once("close", finish);
      });
    }
  }

  function transact({ expected = [], setKeys = [], remove: removed = [] }) {
    for (const entry of expected) {
      if ((rows.get(idOf(entry))?.ver ?? 0) === entry.ver) continue;
      return {
        status: 412,
        body: {
          rows: expected.map((each) =>
            describe(rows.get(idOf(each)) ?? { ...each, ver: 0 })
          ),
        },
      };
    }
    const isForbidden = [...setKeys, ...removed].some(({ table }) =>
      table === "op" || table === "servers"
    );
    if (isForbidden) return { status: 403, body: {} };
    ver += 1;
    for (const row of setKeys) record({ ...row, ver });
    for (const row of removed) record({ ...row, value: undefined, ver });
    wake();
    return { status: 200, body: {} };
  }

  function send(res, status, body) {
    setTimeout(() => {
      if (res.destroyed) return;
      res.writeHead(status, {
        "content-type": "application/json",
        "store-era": "1",
      });
      const nowMs = Math.round(performance.now());
      res.end(JSON.stringify({ ver, ...body, nowMs }));
    }, ANSWER_MS);
  }

  const server = createServer(async (req, res) => {
    res.on("error", () => {});
    let text = "";
    try {
      for await (const chunk of req) text += chunk;
    } catch {
      return;
    }
    const { pathname, searchParams } = new URL(req.url, "http://store");
    if (pathname === "/v1/rows-get") return send(res, 200, read(searchParams));
    if (pathname === "/v1/rows-feed") return await feed(searchParams, res);
    if (pathname === "/v1/rows-tx") {
      const { status, body } = transact(JSON.parse(text));
      return send(res, status, body);
    }
    send(res, 404, {});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    put,
    remove,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
}
