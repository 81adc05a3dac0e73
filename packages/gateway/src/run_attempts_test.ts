import { Quarantine } from "@banyanspool/quarantine";
import { ReplicaPauses } from "@banyanspool/replica-limits";
import { ResponseMatcher } from "@banyanspool/responses";
import { RetryBudget } from "@banyanspool/retry";
import { ReplicaTracker } from "@banyanspool/routing";
import { type BackendServer, incarnationOf } from "@banyanspool/types";
import test from "ava";
import type { Dispatcher } from "undici";
import type { RequestExecution } from "./request_execution.ts";
import { RequestProgress } from "./request_progress.ts";
import { runAttempts } from "./run_attempts.ts";

const TARGET_MS = 400;
/** As many retries as a load of these tests can need. */
const BURST = 50;
const RETRY_RATIO = 0.2;

/** How a replica treats its requests. */
interface Behaviour {
  readonly id: string;
  readonly afterMs: number;
  /** Status of its responses; undefined if it closes the connection instead. */
  readonly status?: number;
  /** Pause that it asks for when it turns its first request away, in ms. */
  readonly pauseMs?: number;
}

/** A clock that jumps from one event to the next. */
function createTimeline() {
  let now = 0;
  const events: { at: number; run: () => void }[] = [];
  const schedule = (ms: number, run: () => void) => {
    events.push({ at: now + ms, run });
    events.sort((a, b) => a.at - b.at);
  };
  const sleep = (ms: number, signal?: AbortSignal) =>
    new Promise<void>((resolve, reject) => {
      signal?.addEventListener("abort", () => reject(new Error("aborted")));
      schedule(ms, resolve);
    });
  const play = async (done: Promise<unknown>) => {
    let isDone = false;
    done.finally(() => {
      isDone = true;
    });
    while (!isDone) {
      // Lets everything run that an event has led to.
      for (let i = 0; i < 4; i += 1) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      const next = events.shift();
      if (!next) continue;
      now = Math.max(now, next.at);
      next.run();
    }
  };
  return { clock: { now: () => now, wall: () => now }, schedule, sleep, play };
}

/** Sends plain requests to replicas that behave in a certain way. */
function createGateway(behaviours: readonly Behaviour[]) {
  const { clock, schedule, sleep, play } = createTimeline();
  const arrivals = new Map(behaviours.map(({ id }) => [id, 0]));
  const replicaPauses = ReplicaPauses.create({
    clock,
    sleep,
    onPause: () => {},
  });
  const replicaTracker = ReplicaTracker.create({
    clock,
    random: () => 0.5,
    dataCentre: "north",
    liveEntryCount: () => 1,
    kvCapacityOf: () => undefined,
    permitStateOf: () => "unlimited",
    admits: (server, waiting) =>
      replicaPauses.admits(incarnationOf(server), waiting),
  });
  replicaTracker.updateServers(behaviours.map(({ id }) => describe(id)));
  /** Requests in flight at each arrival, with its time in ms. */
  const inFlightAt: { at: number; requests: number }[] = [];
  const dispatch = (
    { headers }: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    behaviour: Behaviour,
  ) => {
    const requestId = (headers as string[])[1]!;
    const { id, afterMs, status, pauseMs } = behaviour;
    arrivals.set(id, arrivals.get(id)! + 1);
    const { requests } = replicaTracker.loadAt(id);
    inFlightAt.push({ at: clock.now(), requests });
    const isRejected = pauseMs !== undefined && arrivals.get(id) === 1;
    let isAborted = false;
    const controller = {
      abort: () => {
        isAborted = true;
      },
      pause: () => {},
      resume: () => {},
    } as unknown as Dispatcher.DispatchController;
    handler.onRequestStart?.(controller, {});
    schedule(afterMs, () => {
      if (isAborted) return;
      if (status === undefined) {
        handler.onResponseError?.(controller, new Error("closed"));
        return;
      }
      if (isRejected) {
        handler.onResponseStart?.(controller, 503, {
          "content-length": "0",
          "request-id": requestId,
          "not-executed": "1",
          "retry-after": String(pauseMs / 1000),
        });
      } else {
        handler.onResponseStart?.(controller, status, {
          "content-length": "0",
          "request-id": requestId,
          "response-stamp": "stamp",
        });
      }
      handler.onResponseEnd?.(controller, {});
    });
  };
  const budget = RetryBudget.create({ ratio: RETRY_RATIO, burst: () => BURST });
  const ignore = () => {};
  const ctx = {
    clock,
    sleep,
    random: () => 0,
    replicaTracker,
    replicaLimits: { record: ignore },
    replicaPauses,
    markLeaving: ignore,
    replicaPermits: {},
    waitingRequests: { add: () => ignore },
    expectedModels: { readyAt: ignore },
    quarantine: Quarantine.create({
      clock,
      isTrialOwner: () => true,
      onStart: ignore,
      onCleared: ignore,
    }),
    crashWatch: { recordCutOff: ignore },
    pools: {
      retire: ignore,
      forReplica: ({ id }: BackendServer) => ({
        readGuard: { recordProgress: ignore, reads: 0 },
        currentMatcher: ResponseMatcher.create,
        pool: {
          dispatch: (
            options: Dispatcher.DispatchOptions,
            handler: Dispatcher.DispatchHandler,
          ) =>
            dispatch(
              options,
              handler,
              behaviours.find((each) => each.id === id)!,
            ),
        },
      }),
    },
    fleet: { version: 1, changed: { wait: (ms: number) => sleep(ms) } },
    log: { write: ignore },
    metrics: {
      retries: { inc: ignore },
      ejections: { inc: ignore },
      firstByte: { observe: ignore },
      slowdown: { observe: ignore },
    },
  };
  const send = async (id: string): Promise<number> => {
    budget.recordRequest();
    const progress = RequestProgress.create();
    const res = {
      headersSent: false,
      writeHead: ignore,
      write: ignore,
      end: ignore,
    };
    const execution = {
      ctx,
      progress,
      budget,
      scope: {
        req: {
          method: "GET",
          rawHeaders: ["Request-Id", id],
          socket: {},
        },
        res: { ...res, setHeader: ignore, destroyed: false },
        caller: { id, target: "/", promptParts: [] },
        route: {
          name: "look",
          retrySafety: "idempotent",
          streaming: false,
          timeoutMs: 15_000,
          targetLatencyMs: TARGET_MS,
          eventGapTargetMs: 0,
          maxAttempts: 2,
          priority: 1,
        },
        activeConfiguration: { configuration: { services: new Map() } },
        arrivedAt: clock.now(),
        deadlineAt: clock.now() + 15_000,
        signal: new AbortController().signal,
        holdUnread: () => ({ count: () => true, close: ignore }),
      },
      request: {
        service: "desk",
        promptTokens: 0,
        outputTokens: 0,
        promptParts: [],
        excluded: progress.excluded,
      },
    } as unknown as RequestExecution;
    const outcome = await runAttempts(execution);
    return outcome.status ?? 0;
  };
  /** Sends requests at an interval; returns their statuses. */
  const sendLoad = async (count: number, intervalMs: number) => {
    const load = Array.from({ length: count }, async (_, i) => {
      await sleep(i * intervalMs);
      return await send(`request ${i}`);
    });
    const all = Promise.all(load);
    await play(all);
    return await all;
  };
  return { sendLoad, arrivals, inFlightAt, replicaTracker };
}

function describe(id: string): BackendServer {
  return {
    id,
    service: "desk",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 6,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: [],
  };
}

// Late responses were given up for a replica that failed.
test("while one replica is late and the other one fails, every request is answered", async (t) => {
  const { sendLoad, replicaTracker } = createGateway([
    { id: "late", afterMs: 350, status: 200 },
    { id: "failing", afterMs: 1 },
  ]);
  const statuses = await sendLoad(20, 150);
  t.deepEqual(statuses.filter((status) => status !== 200), []);
  t.is(replicaTracker.loadAt("late").requests, 0);
  t.is(replicaTracker.loadAt("failing").requests, 0);
});

test("requests at a replica that stands still are answered by others, within the retry budget", async (t) => {
  const { sendLoad, arrivals, replicaTracker } = createGateway([
    { id: "sound-1", afterMs: 20, status: 200 },
    { id: "sound-2", afterMs: 20, status: 200 },
    { id: "still", afterMs: 60_000, status: 200 },
  ]);
  const statuses = await sendLoad(200, 20);
  t.deepEqual(statuses.filter((status) => status !== 200), []);
  const sum = [...arrivals.values()].reduce((a, b) => a + b, 0);
  t.true(sum - statuses.length <= BURST, `${sum} arrivals`);
  t.is(replicaTracker.loadAt("still").requests, 0);
});

test("a replica that states a slowdown isn't waited for the longer", async (t) => {
  const { sendLoad, replicaTracker, inFlightAt } = createGateway([
    { id: "sound", afterMs: 20, status: 200 },
    { id: "still", afterMs: 60_000, status: 200 },
  ]);
  for (const [id, slowdown] of [["sound", 8], ["still", 7]] as const) {
    const load = { requests: 0, slowdown, sentAt: 0 };
    replicaTracker.recordStatedLoad(describe(id), load);
  }
  const intervalMs = 30;
  await sendLoad(20, intervalMs);
  const backup = inFlightAt.find(({ at }) => at % intervalMs !== 0)!;
  t.true(backup.at < 0.75 * TARGET_MS, `${backup.at}`);
});

// All requests that had waited were sent to a replica at once when its pause ended.
test("the requests that wait for the end of a pause are sent a few at a time", async (t) => {
  const { sendLoad, arrivals, inFlightAt } = createGateway([
    { id: "paused", afterMs: 20, status: 200, pauseMs: 500 },
  ]);
  const statuses = await sendLoad(41, 10);
  // The first one was turned away, and no other replica could take it.
  t.is(statuses.filter((status) => status !== 200).length, 1);
  t.is(arrivals.get("paused"), 41);
  t.false(inFlightAt.some(({ at }) => at > 20 && at < 520));
  const inFlight = inFlightAt.filter(({ at }) => at >= 520)
    .map(({ requests }) => requests);
  t.is(inFlight[0], 1);
  t.true(Math.max(...inFlight.slice(0, 3)) <= 2, inFlight.join());
});
