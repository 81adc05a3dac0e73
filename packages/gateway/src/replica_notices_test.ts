import { LimitTable, ReplicaPauses } from "@banyanspool/replica-limits";
import {
  decodeReplicaResponse,
  type ResponseHeaders,
} from "@banyanspool/platform-adapter";
import type { BackendServer } from "@banyanspool/types";
import type { StatedReplicaLoad } from "@banyanspool/routing";
import test from "ava";
import { GatewayMetrics } from "./gateway_metrics.ts";
import { recordReplicaNotices } from "./replica_notices.ts";
import { throttleEvent } from "./throttled_log.ts";

const REPLICA: BackendServer = {
  id: "i-1",
  service: "pool",
  address: "127.0.0.1:1",
  dataCentre: "north",
  slots: 1,
  draining: false,
  softwareVersion: "v1",
  startedAt: 7,
  sequence: 1,
  models: [],
};

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

function createRecorder() {
  let now = 0;
  const replicaLimits = LimitTable.create({
    clock: { now: () => now, wall: () => now },
    onChange: () => {},
  });
  const leaving: string[] = [];
  const logged: string[] = [];
  const replicaPauses = ReplicaPauses.create({
    clock: { now: () => now, wall: () => now },
    sleep: () => Promise.resolve(),
    onPause: () => {},
  });
  const loads: StatedReplicaLoad[] = [];
  const log = {
    ...SILENT_LOG,
    write: (event: string) => void logged.push(event),
  };
  const clock = { now: () => now, wall: () => now };
  const ctx = {
    replicaLimits,
    replicaPauses,
    replicaTracker: {
      recordStatedLoad: (_: BackendServer, load: StatedReplicaLoad) =>
        void loads.push(load),
    },
    markLeaving: ({ id }: BackendServer) => void leaving.push(id),
    log,
    logUnreadableLoad: throttleEvent("load", { log, clock, intervalMs: 1000 }),
    metrics: GatewayMetrics.create(),
  };
  const receive = (
    status: number,
    headers: ResponseHeaders,
    { isRequest = true } = {},
  ) => {
    now += 10;
    const facts = decodeReplicaResponse(status, headers);
    recordReplicaNotices(ctx, REPLICA, { facts, sentAt: now - 1, isRequest });
  };
  return {
    receive,
    leaving,
    logged,
    loads,
    metrics: ctx.metrics,
    limit: () => replicaLimits.get("i-1 7"),
    pauseMs: () => replicaPauses.remainingMs("i-1 7"),
  };
}

test("any response of a replica may say that it leaves, but for a misdirected one", (t) => {
  const headers = { "server-leaving": "1" };
  const { receive, leaving } = createRecorder();
  receive(421, headers);
  t.deepEqual(leaving, []);
  for (const status of [200, 404, 500, 503]) receive(status, headers);
  receive(202, headers, { isRequest: false });
  t.is(leaving.length, 5);
});

// Reads of reports lifted the limit that a replica named to callers' requests.
test("the response to an order or a read of a report names a limit, but doesn't lift it", (t) => {
  const { receive, limit } = createRecorder();
  receive(200, { "server-limit": "1.5" }, { isRequest: false });
  t.is(limit(), 1.5);
  receive(200, {}, { isRequest: false });
  t.is(limit(), 1.5);
  receive(503, { "not-executed": "1" });
  t.is(limit(), 1.5);
  receive(200, {});
  t.is(limit(), undefined);
});

test("only a rejection asks for a pause, which is bounded, and other values are logged", (t) => {
  const { receive, pauseMs, logged } = createRecorder();
  receive(200, { "retry-after": "4" });
  receive(429, { "retry-after": "4" });
  t.is(pauseMs(), 0);
  for (const text of ["-4", "NaN", "", "1e3", "Infinity", "soon"]) {
    receive(503, { "retry-after": text });
  }
  receive(503, { "retry-after": "Fri, 05 Dec 2026 08:00:00 GMT" });
  t.is(pauseMs(), 0);
  t.is(logged.length, 7);
  receive(503, { "retry-after": "0.25" });
  t.is(pauseMs(), 250);
  receive(503, { "retry-after": "4", "not-executed": "1" });
  t.is(pauseMs(), 4000);
  receive(503, { "retry-after": "86400" });
  t.is(pauseMs(), 60_000);
});

test("a limit, a pause and the end of a replica count in any order", (t) => {
  const { receive, pauseMs, limit, leaving } = createRecorder();
  receive(503, { "retry-after": "2", "server-limit": "1.5" });
  receive(200, { "server-limit": "0.5", "server-leaving": "1" });
  receive(503, { "retry-after": "1", "not-executed": "1" });
  t.is(limit(), 0.5);
  t.is(pauseMs(), 1980);
  t.deepEqual(leaving, ["i-1"]);
});

test("a load is handed on with the time of its request, and unreadable ones are counted and logged once", async (t) => {
  const { receive, loads, logged, metrics } = createRecorder();
  receive(200, { "server-load": "3,2,8,150" });
  receive(202, { "server-load": "1,0,8" }, { isRequest: false });
  receive(421, { "server-load": "1,0,8" });
  for (let i = 0; i < 20; i += 1) receive(200, { "server-load": "1,2,3,4,5" });
  t.deepEqual(loads, [
    { requests: 5, slowdown: 1.5, sentAt: 9 },
    { requests: 1, slowdown: undefined, sentAt: 19 },
  ]);
  t.deepEqual(logged, ["load"]);
  const { values } = await metrics.statedLoads.get();
  t.deepEqual(values.map(({ value }) => value), [2, 20]);
});
