import test from "ava";
import type { Route } from "@banyanspool/types";
import { callerFirstByteTimeoutMs } from "./acquire_replica.ts";
import { jitterRetryAfter } from "./refusals.ts";

function route(options: Partial<Route>): Route {
  return {
    name: "r",
    host: "a.example",
    prefix: "/",
    shares: [],
    retrySafety: "never",
    streaming: true,
    timeoutMs: 15_000,
    targetLatencyMs: 500,
    eventGapTargetMs: 400,
    priority: 0,
    maxAttempts: 1,
    isPublic: false,
    ...options,
  };
}

test("the time that a caller waits for the first byte follows the route's targets for streams, and its time-out otherwise", (t) => {
  t.is(callerFirstByteTimeoutMs(route({})), 3200);
  t.is(callerFirstByteTimeoutMs(route({ targetLatencyMs: 4000 })), 16_000);
  t.is(
    callerFirstByteTimeoutMs(
      route({ targetLatencyMs: 100, eventGapTargetMs: 0 }),
    ),
    2000,
  );
  t.is(callerFirstByteTimeoutMs(route({ streaming: false })), 15_000);
});

test("the retry delay of a refusal gets up to a quarter of jitter", (t) => {
  t.is(jitterRetryAfter(400, () => 0), 400);
  t.is(jitterRetryAfter(400, () => 0.999), 500);
});
