import test from "ava";
import type { Route } from "@banyanspool/types";
import { RouteTable } from "./route_table.ts";

function route(host: string, prefix: string): Route {
  return {
    name: `${host}${prefix}`,
    host,
    prefix,
    shares: [],
    retrySafety: "never",
    streaming: false,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    eventGapTargetMs: 0,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
  };
}

test("the route with the longest matching prefix of the host is found", (t) => {
  const table = RouteTable.create([
    route("a.example", "/x/"),
    route("a.example", "/x/y/"),
    route("b.example", "/"),
  ]);
  t.is(table.find("a.example", "/x/y/z?q=/x/")?.prefix, "/x/y/");
  t.is(table.find("a.example", "/x/yy")?.prefix, "/x/");
  t.is(table.find("b.example", "/x/y/")?.prefix, "/");
});

test("another host and a query that looks like a path match no route", (t) => {
  const table = RouteTable.create([route("a.example", "/x/y/")]);
  t.is(table.find("c.example", "/x/y/"), undefined);
  t.is(table.find("a.example", "/x?/y/"), undefined);
});
