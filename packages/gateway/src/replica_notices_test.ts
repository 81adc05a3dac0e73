import { LimitTable } from "@banyanspool/replica-limits";
import {
  decodeReplicaResponse,
  type ResponseHeaders,
} from "@banyanspool/platform-adapter";
import type { BackendServer } from "@banyanspool/types";
import test from "ava";
import { recordReplicaNotices } from "./replica_notices.ts";

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

function createRecorder() {
  let now = 0;
  const replicaLimits = LimitTable.create({
    clock: { now: () => now, wall: () => now },
    onChange: () => {},
  });
  const leaving: string[] = [];
  const ctx = {
    replicaLimits,
    markLeaving: ({ id }: BackendServer) => void leaving.push(id),
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
  return { receive, leaving, limit: () => replicaLimits.get("i-1 7") };
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
