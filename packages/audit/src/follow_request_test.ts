import test from "ava";
import {
  type EventLine,
  followRequest,
  parseEventLine,
} from "./follow_request.ts";

function line(
  time: number,
  event: string,
  fields: Record<string, unknown> = {},
): EventLine {
  const text = JSON.stringify({
    level: 30,
    time,
    instance: "g-1",
    event,
    ...fields,
  });
  return parseEventLine(text)!;
}

function events(lines: EventLine[]): string[] {
  return followRequest("r1", lines).around.map(({ event }) => event);
}

const REQUEST = line(20_000, "request", {
  id: "r1",
  model: "m1",
  adapter: "a1",
  replicas: ["i-1"],
  took_ms: 3000,
});

test("a request's own lines are found among others and sorted by time", (t) => {
  const { own } = followRequest("r1", [
    REQUEST,
    line(19_000, "attempt", { id: "r1", replica: "i-1" }),
    line(19_500, "attempt", { id: "r2", replica: "i-1" }),
  ]);
  t.deepEqual(own.map(({ event }) => event), ["attempt", "request"]);
});

test("state changes of its replica, model, adapter, limits, store and placement lease are included", (t) => {
  t.deepEqual(
    events([
      REQUEST,
      line(10_000, "configuration in force", { limits: { acme: "1+1" } }),
      line(11_000, "replica ejected", { replica: "i-1" }),
      line(12_000, "model move", { load: "m1", unload: [], replica: "i-2" }),
      line(13_000, "model move", { load: "m2", unload: ["m1"] }),
      line(14_000, "engine order", { model: "m1", operation: "load" }),
      line(15_000, "adapter load", { adapter: "m1/a1" }),
      line(16_000, "engine order", { model: "m1", adapter: "a1" }),
      line(17_000, "store lost", { table: "op" }),
      line(18_000, "placement lease lost"),
    ]),
    [
      "configuration in force",
      "replica ejected",
      "model move",
      "model move",
      "engine order",
      "adapter load",
      "engine order",
      "store lost",
      "placement lease lost",
    ],
  );
});

test("state changes of other replicas, models, adapters, instances and times are left out", (t) => {
  t.deepEqual(
    events([
      REQUEST,
      line(1000, "store lost", { table: "op" }),
      line(30_000, "store lost", { table: "op" }),
      line(15_000, "replica ejected", { replica: "i-9" }),
      line(15_000, "model move", { load: "m9", unload: [] }),
      line(15_000, "adapter load", { adapter: "m1/a9" }),
      line(15_000, "store lost", { instance: "g-2" }),
    ]),
    [],
  );
});

test("lines that aren't structured are unreadable, and what comes before one is skipped", (t) => {
  for (const text of ["", "ready g-1", "{", "[1]", '{"time":1}', "null"]) {
    t.is(parseEventLine(text), undefined, text);
  }
  const text = '{"time":7,"instance":"g-1","event":"start"}';
  for (const prefix of ["", "12.007 s  gateway-1  ", "2026-12-05T12:00:00Z "]) {
    t.is(parseEventLine(prefix + text)?.time, 7, prefix);
  }
});

test("an id that no line has gives an empty trail", (t) => {
  const { own, around } = followRequest("r9", [REQUEST]);
  t.deepEqual([own, around], [[], []]);
});
