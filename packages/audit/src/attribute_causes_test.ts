import test from "ava";
import { attributeCauses } from "./attribute_causes.ts";
import type { EventLine } from "./follow_request.ts";

const OPTIONS = { limitWindowMs: 8000 };

function line(event: string, time: number, fields = {}): EventLine {
  return { time, instance: "gw-1", event, fields };
}

function request(time: number, result: string, fields = {}): EventLine {
  return line("request", time, {
    route: "chat",
    organisation: "acme",
    result,
    cost: 100,
    target_ms: 400,
    pause_target_ms: 200,
    took_ms: 0,
    waited_ms: 0,
    ...fields,
  });
}

function causes(lines: EventLine[]): string[] {
  return attributeCauses(lines, OPTIONS).attributed
    .map(({ result, cause }) => `${result}: ${cause}`);
}

test("requests in time have no cause", (t) => {
  const lines = [
    request(1000, "answered", { first_byte_ms: 50, longest_pause_ms: 90 }),
  ];
  t.deepEqual(causes(lines), []);
  t.is(attributeCauses(lines, OPTIONS).total, 1);
});

test("a late response is put down to its wait, its pause or its replica", (t) => {
  const late = { first_byte_ms: 900, took_ms: 1000 };
  t.deepEqual(
    causes([
      request(5000, "answered", { ...late, waited_ms: 800 }),
      request(6000, "answered", { ...late, waited_ms: 0 }),
      request(7000, "answered", { first_byte_ms: 50, longest_pause_ms: 300 }),
      request(8000, "left", { first_byte_ms: 50, longest_pause_ms: 90 }),
      request(9000, "deadline_passed", { took_ms: 500 }),
    ]),
    [
      "late: model not resident",
      "late: late first byte",
      "late: pause in the stream",
      "cut off: slow stream",
      "failed: no response",
    ],
  );
});

test("a refusal below the limit is told apart from one at the limit", (t) => {
  const configuration = line("configuration in force", 0, {
    limits: { acme: "100+200" },
  });
  const admitted = (time: number) =>
    request(time, "answered", { replicas: ["r1"], first_byte_ms: 9 });
  const early = [configuration, admitted(900), request(1000, "rate_exceeded")];
  t.deepEqual(causes(early), ["refused: rate limit short of the rate"]);
  const admissions = Array.from({ length: 9 }, (_, i) => admitted(100 * i));
  const full = [configuration, ...admissions, request(1000, "rate_exceeded")];
  t.deepEqual(causes(full), ["refused: rate limit reached"]);
});

test("a store outage and a restart come before what follows from them", (t) => {
  const lines = [
    line("start", 0),
    request(500, "no_replica"),
    line("store lost", 10_000, { table: "op" }),
    request(11_000, "no_replica"),
    line("store regained", 12_000, { table: "op" }),
    request(14_000, "overloaded"),
    request(16_000, "overloaded"),
    request(17_000, "no_replica"),
    request(17_500, "no_allowed_replica"),
    request(18_000, "outcome_unknown"),
    request(19_000, "broken"),
  ];
  t.deepEqual(causes(lines), [
    "refused: gateway restarted",
    "refused: store outage",
    "refused: store outage",
    "refused: replicas full",
    "refused: model not resident",
    "refused: no allowed replica",
    "failed: replica lost",
    "cut off: replica lost",
  ]);
});
