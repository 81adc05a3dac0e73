import test from "ava";
import { holdUntil } from "./hold_back.ts";
import type { RequestScope } from "./request_scope.ts";

const SHARES = [{ service: "pool", weight: 1 }];
const URGENT = { priority: 0, targetLatencyMs: 400, shares: SHARES };
const PATIENT = { priority: 2, targetLatencyMs: 4000, shares: SHARES };

/** A patient request that arrives at 0 and is decided about at a time, in ms. */
function decideAt(
  now: number,
  {
    waitMs,
    routes = [URGENT, PATIENT],
    organisation,
    model = "m",
    deadlineAt = 15_000,
    timeoutMs = 15_000,
  }: {
    readonly waitMs: number;
    readonly deadlineAt?: number;
    readonly timeoutMs?: number;
    readonly routes?: readonly (typeof URGENT)[];
    readonly organisation?: { readonly priority: number };
    readonly model?: string | null;
  },
): number | undefined {
  const scope = {
    route: { ...PATIENT, streaming: false, timeoutMs },
    organisation,
    arrivedAt: 0,
    deadlineAt,
    activeConfiguration: { configuration: { routes } },
  } as unknown as RequestScope;
  return holdUntil({ clock: { now: () => now, wall: () => now } }, scope, {
    request: {
      service: "pool",
      model: model ?? undefined,
      promptTokens: 10,
      outputTokens: 10,
      promptParts: [],
      excluded: new Set(),
    },
    waitingSince: 0,
    selection: { waitMs, predictedMs: waitMs + 200 },
  });
}

test("patient long requests leave a queue to urgent short ones while these would be refused for it", (t) => {
  t.is(decideAt(0, { waitMs: 300 }), 200, "until the wait is short enough");
  t.is(decideAt(1400, { waitMs: 300 }), 1500, "half its target, less 500 ms");
  t.is(decideAt(0, { waitMs: 100 }), undefined, "urgent ones are still taken");
  t.is(decideAt(1500, { waitMs: 300 }), undefined, "its own time is short");
});

test("a request whose caller leaves before its target is held back only while it can still be served", (t) => {
  const waitMs = 400;
  t.is(decideAt(0, { waitMs, deadlineAt: 800 }), undefined, "no time is left");
  t.is(decideAt(0, { waitMs, deadlineAt: 1000 }), 100);
  t.is(decideAt(0, { waitMs, timeoutMs: 1000 }), 100);
  t.is(decideAt(0, { waitMs, deadlineAt: 2000 }), 300);
});

test("a request is held back for none that is as urgent, of another service or without a model", (t) => {
  const waitMs = 1000;
  t.is(decideAt(0, { waitMs, organisation: { priority: 0 } }), undefined);
  t.is(decideAt(0, { waitMs, routes: [PATIENT] }), undefined);
  const other = { ...URGENT, shares: [{ service: "desk", weight: 1 }] };
  t.is(decideAt(0, { waitMs, routes: [other, PATIENT] }), undefined);
  t.is(decideAt(0, { waitMs, model: null }), undefined);
});
