import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { ServerRoster } from "./server_watch.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };

function server(id: string): BackendServer {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 1,
    leaving: false,
    startedAt: 1,
    models: [],
  };
}

function ids(servers: readonly BackendServer[]): string[] {
  return servers.map(({ id }) => id);
}

test("a replica that is missing from the list is gone at once", (t) => {
  const roster = ServerRoster.create({ log: SILENT_LOG });
  roster.update([server("a"), server("b")], 0);
  t.deepEqual(ids(roster.update([server("a")], 1000)), ["a"]);
});

test("rows that lapsed in an outage get time to come back", (t) => {
  const roster = ServerRoster.create({ log: SILENT_LOG });
  roster.update([server("a"), server("b")], 0);
  roster.markOutage();
  t.deepEqual(ids(roster.update([server("a")], 5000)), ["a", "b"]);
  t.deepEqual(ids(roster.update([server("a")], 7400)), ["a", "b"]);
  t.deepEqual(ids(roster.update([server("a")], 7600)), ["a"]);
});
