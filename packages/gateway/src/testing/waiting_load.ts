import { setImmediate as nextTurn } from "node:timers/promises";
import { acquireReplica } from "../acquire_replica.ts";
import { ChangeSignal } from "../change_signal.ts";
import type { GatewayContext } from "../context.ts";
import { GatewayMetrics } from "../gateway_metrics.ts";
import type { RequestScope } from "../request_scope.ts";
import { WaitingRequestCounts } from "../waiting_request_counts.ts";

/** A caller's request in a load. */
export interface LoadRequest {
  /** Time of its arrival, in ms. */
  readonly at: number;
  /** Organisation, "a" by default. */
  readonly organisation?: string;
  /** Priority, 0 by default. */
  readonly priority?: number;
  /** Model, "m" by default. */
  readonly model?: string;
  /** Time that its caller waits for a response, in ms; 1000 by default. */
  readonly patienceMs?: number;
  /** Time at a replica, in ms. */
  readonly workMs: number;
  /** Time after which its caller disconnects, in ms. */
  readonly leavesAfterMs?: number;
}

/** How a request of a load ended. */
export interface LoadResult extends LoadRequest {
  /** Time at which it was sent, in ms; undefined if it wasn't. */
  readonly sentAt?: number;
  /** Code of its refusal. */
  readonly code?: string;
  /** Retry-after of its refusal, in ms. */
  readonly retryAfterMs?: number;
}

/** Options of {@link playLoad}. */
export interface LoadOptions {
  /** Requests that run at the same time, by model. */
  readonly places: Readonly<Record<string, number>>;
  /** The requests, by time of arrival. */
  readonly requests: readonly LoadRequest[];
  /** Random number that all jitter is made of, 0 by default. */
  readonly random?: number;
  /** Returns the request that a caller sends when one has ended. */
  readonly next?: (result: LoadResult, now: number) => LoadRequest | undefined;
}

/** How a load ended. */
export interface LoadEnd {
  /** Results in the order in which they were known. */
  readonly results: readonly LoadResult[];
  /** How often a replica was looked for. */
  readonly selections: number;
}

const STEP_MS = 5;

/** Plays a load at one gateway, with places at replicas and a clock of its own. */
export async function playLoad(options: LoadOptions): Promise<LoadEnd> {
  const { places, requests, random = 0, next } = options;
  let now = 0;
  let selections = 0;
  const timers: { at: number; run: () => void }[] = [];
  const free = new Map(Object.entries(places));
  const clock = { now: () => now, wall: () => now };
  const after = (ms: number, run: () => void) =>
    void timers.push({ at: now + ms, run });
  const changed = ChangeSignal.create();
  const waiting = new Set<() => void>();
  changed.notify = () => {
    for (const wake of [...waiting]) wake();
    waiting.clear();
  };
  changed.wait = (ms) =>
    new Promise((resolve) => {
      waiting.add(resolve);
      after(ms, resolve);
    });
  const ctx = {
    clock,
    random: () => random,
    fleet: { changed },
    metrics: GatewayMetrics.create(),
    waitingRequests: WaitingRequestCounts.create({ clock }),
    quarantine: { check: () => undefined, recordSent: () => {} },
    replicaPauses: { isEmpty: true },
    replicaTracker: {
      servers: new Map(),
      isBarred: () => false,
      isResident: () => true,
      exhausted: () => [],
      paused: () => [],
      select: ({ model }: { model: string }) => {
        selections += 1;
        if (free.get(model)! <= 0) return undefined;
        return {
          server: {},
          predictedMs: 0,
          waitMs: 0,
          inFlight: 0,
          slowdown: 1,
        };
      },
    },
  } as unknown as GatewayContext;
  const results: LoadResult[] = [];
  const acquireFree = async (request: LoadRequest) => {
    const { model = "m", at } = request;
    const scope = scopeOf(request, after);
    while (true) {
      const acquired = await acquireReplica(ctx, scope, {
        request: {
          service: "pool",
          model,
          promptTokens: 100,
          outputTokens: 0,
          promptParts: [],
          excluded: new Set(),
        },
        waitingSince: at,
      });
      if (!acquired.ok) return acquired;
      // As `runAttempts`: another request may have been sent there since.
      if (free.get(model)! <= 0) continue;
      free.set(model, free.get(model)! - 1);
      after(request.workMs, () => {
        free.set(model, free.get(model)! + 1);
        changed.notify();
      });
      return acquired;
    }
  };
  let pending = 0;
  const send = async (request: LoadRequest) => {
    pending += 1;
    const acquired = await acquireFree(request);
    pending -= 1;
    const result = acquired.ok ? { ...request, sentAt: now } : {
      ...request,
      code: acquired.error.code,
      retryAfterMs: acquired.error.retryAfterMs,
    };
    results.push(result);
    const following = next?.(result, now);
    if (following) after(following.at - now, () => void send(following));
  };
  for (const request of requests) after(request.at, () => void send(request));
  while (timers.length > 0 || pending > 0) {
    timers.sort((a, b) => a.at - b.at);
    while (timers.length > 0 && timers[0]!.at <= now) {
      timers.shift()!.run();
      timers.sort((a, b) => a.at - b.at);
    }
    for (let i = 0; i < 6; i += 1) await nextTurn();
    now += STEP_MS;
  }
  return { results, selections };
}

function scopeOf(
  request: LoadRequest,
  after: (ms: number, run: () => void) => void,
): RequestScope {
  const { at, organisation = "a", priority = 0, patienceMs = 1000 } = request;
  const caller = new AbortController();
  if (request.leavesAfterMs !== undefined) {
    after(request.leavesAfterMs, () => caller.abort());
  }
  return {
    req: { method: "POST" },
    caller: { target: "/", promptParts: [] },
    route: {
      priority,
      streaming: false,
      timeoutMs: patienceMs,
      targetLatencyMs: patienceMs,
      shares: [],
    },
    organisation: { name: organisation },
    arrivedAt: at,
    deadlineAt: at + patienceMs,
    signal: caller.signal,
    activeConfiguration: {
      configuration: { services: new Map(), routes: [] },
    },
  } as unknown as RequestScope;
}
