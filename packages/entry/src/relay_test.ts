import { create } from "@bufbuild/protobuf";
import test from "ava";
import type { RefusalCode, ReplicaReport } from "@banyanspool/types";
import { Metrics } from "@banyanspool/metrics";
import { RetryBudget } from "@banyanspool/retry";
import {
  type RunFrame,
  RunFrameSchema,
  type RunRequest,
} from "@banyanspool/wire";
import type { ResponseSink } from "./response_sink.ts";
import type { EntryContext } from "./context.ts";
import { relay } from "./relay.ts";
import type { RequestScope } from "./request_scope.ts";

interface ScriptedRefusal {
  readonly code: RefusalCode;
  readonly ran: "no" | "unknown";
}

/** Relays a request whose attempts are refused with `refusals`, in order. */
async function relayWithRefusals(
  refusals: readonly ScriptedRefusal[],
  idempotent: boolean,
) {
  let attempts = 0;
  const run = async function* (req: RunRequest): AsyncIterable<RunFrame> {
    const { code, ran } = refusals[attempts]!;
    attempts += 1;
    await Promise.resolve();
    yield create(RunFrameSchema, {
      attempt: req.attempt,
      kind: {
        case: "refused",
        value: { code, message: "a test", ran, retryAfterMs: 0 },
      },
    });
  };
  const ctx = {
    cfg: { instance: "entry-1" },
    incarnation: 1,
    clock: { now: () => 0, wall: () => 0 },
    sleep: () => new Promise<void>((resolve) => setImmediate(resolve)),
    random: () => 0,
    pool: { getConnection: () => ({ agent: { run }, abandon: () => {} }) },
    router: { avoid: () => {}, avoidModel: () => {}, updateQueue: () => {} },
    metrics: Metrics.create(),
    retryBudget: RetryBudget.create({ ratio: 1, burst: () => 10 }),
    nextAttemptSequence: () => attempts + 1,
  } as unknown as EntryContext;
  const scope = {
    requestId: "r",
    signal: new AbortController().signal,
    remainingMs: () => 1000,
  } as unknown as RequestScope;
  const sink = {
    deliveredBytes: 0,
    reset: () => {},
  } as unknown as ResponseSink;
  const { outcome } = await relay(ctx, scope, {
    runRequest: { model: "m" },
    idempotent,
    sink,
    chooseTarget: () =>
      Promise.resolve({
        report: {
          replica: `r${attempts}`,
          address: "a",
          agentIncarnation: 1,
        } as ReplicaReport,
        started: () => {},
        finished: () => {},
      }),
    onTokens: () => {},
    onStarted: () => {},
  });
  return { outcome, attempts };
}

const UNKNOWN_OUTCOME: ScriptedRefusal = {
  code: "engine_failed",
  ran: "unknown",
};
const OVERLOADED: ScriptedRefusal = { code: "overloaded", ran: "no" };
const DRAINING: ScriptedRefusal = { code: "draining", ran: "no" };

test("a final refusal says unknown if an earlier attempt may have run", async (t) => {
  const { outcome, attempts } = await relayWithRefusals([
    UNKNOWN_OUTCOME,
    OVERLOADED,
  ], true);
  t.is(attempts, 2);
  t.is(outcome.kind === "refused" && outcome.refusal.ran, "unknown");
});

test("a request that isn't idempotent is retried only if it has not run", async (t) => {
  const afterUnknownOutcome = await relayWithRefusals([
    UNKNOWN_OUTCOME,
    OVERLOADED,
  ], false);
  t.is(afterUnknownOutcome.attempts, 1);
  const afterDraining = await relayWithRefusals([DRAINING, OVERLOADED], false);
  t.is(afterDraining.attempts, 2);
  const { outcome } = afterDraining;
  t.is(outcome.kind === "refused" && outcome.refusal.ran, "no");
});

test("a refusal for overload is not retried", async (t) => {
  t.is((await relayWithRefusals([OVERLOADED, OVERLOADED], true)).attempts, 1);
});
