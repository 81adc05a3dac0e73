import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { FirstBytePredictor } from "./first_byte_prediction.ts";
import type { SelectionRequest } from "./selection.ts";
import { createServer, createTracker } from "./testing/tracker.ts";

const WORK_MS = 200;
const PLAIN: SelectionRequest = {
  service: "pool",
  promptTokens: 0,
  outputTokens: 0,
  promptParts: [],
  excluded: new Set(),
};
const IDLE = { requests: 0, prefillTokens: 0, kvTokens: 0 };

function server(id: string): BackendServer {
  return createServer(id, { slots: 4, models: [] });
}

function createPool(size: number) {
  const servers = Array.from({ length: size }, (_, i) => server(`r${i}`));
  const { tracker, random, advance } = createTracker(servers);
  /** Sends requests one after the other; returns the first replica's share. */
  const shareOfFirst = (requests: number, slowdown: number) => {
    let sent = 0;
    for (let i = 0; i < requests; i += 1) {
      const selection = tracker.select(PLAIN)!;
      const isFirst = selection.server.id === "r0";
      const tracked = tracker.dispatch(PLAIN, selection);
      advance(WORK_MS * (isFirst ? slowdown : 1) * (0.9 + 0.2 * random()));
      tracked.started();
      tracked.finished();
      if (isFirst) sent += 1;
    }
    return sent / requests;
  };
  return { tracker, servers, advance, shareOfFirst };
}

for (const size of [2, 4]) {
  test(`one of ${size} replicas is slow for a time at low load: it is avoided, and used again after`, (t) => {
    const { shareOfFirst } = createPool(size);
    const usualShare = shareOfFirst(3000, 1);
    t.true(usualShare > 0.3 / size, `usual: ${usualShare}`);
    shareOfFirst(300, 4);
    const slowShare = shareOfFirst(1000, 4);
    t.true(slowShare < 0.1 * usualShare, `slow: ${slowShare}`);
    shareOfFirst(1000, 1);
    const soundShare = shareOfFirst(3000, 1);
    t.true(soundShare > usualShare / 2, `${soundShare} of ${usualShare}`);
  });
}

for (const model of [undefined, "m"]) {
  test(`all replicas state a slowdown, ${model ?? "plain"}: it isn't learnt a second time, and a newcomer is like its siblings`, (t) => {
    let now = 0;
    const clock = { now: () => now, wall: () => now };
    const predictor = FirstBytePredictor.create({
      clock,
      kvCapacityOf: () => undefined,
    });
    const request = { ...PLAIN, model, promptTokens: model ? 3000 : 0 };
    const latencyMs = model ? 8 : 0;
    const predict = (id: string) =>
      predictor.predict(request, {
        server: server(id),
        load: IDLE,
        preference: -1,
      });
    const serve = (i: number, slowdown: number) => {
      const id = `r${i % 50}`;
      const selection = predict(id);
      const sentAt = now;
      const elapsedMs = latencyMs + 100 * slowdown;
      now += elapsedMs;
      predictor.speeds.recordStated(server(id), slowdown);
      predictor.recordStart(request, { selection, sentAt });
      predictor.recordEnd(request, { selection, sentAt });
      now += 10 - elapsedMs;
      return selection.predictedMs;
    };
    for (let i = 0; i < 5000; i += 1) serve(i, 1);
    for (let i = 0; i < 5000; i += 1) {
      const predictedMs = serve(i, 3);
      const isNear = predictedMs > 300 / 1.25 && predictedMs < 300 * 1.25;
      if (i >= 1500 && !isNear) t.fail(`${predictedMs} at ${i}`);
    }
    const knownMs = predict("r0").predictedMs;
    const newMs = predict("new").predictedMs;
    t.true(newMs > 0.8 * knownMs && newMs < 1.25 * knownMs, `${newMs}`);
  });
}

test("requests that ended since the stated load was written aren't other gateways'", (t) => {
  const { tracker, servers, advance } = createPool(1);
  const tracked = Array.from(
    { length: 10 },
    () => tracker.dispatch(PLAIN, tracker.select(PLAIN)!),
  );
  advance(50);
  for (const { started, finished } of tracked) {
    tracker.recordStatedLoad(servers[0]!, { requests: 10, sentAt: 0 });
    started();
    finished();
  }
  t.is(tracker.select(PLAIN)!.inFlight, 0);
});

test("quick errors tell nothing of a replica's speed", (t) => {
  const { tracker, servers, advance, shareOfFirst } = createPool(2);
  shareOfFirst(100, 1);
  const before = servers.map((only) => tracker.select(PLAIN, { only }));
  for (let i = 0; i < 100; i += 1) {
    const selection = tracker.select(PLAIN, { only: servers[0]! })!;
    const tracked = tracker.dispatch(PLAIN, selection);
    advance(1);
    tracked.started("error");
    tracked.finished();
  }
  for (const [i, only] of servers.entries()) {
    const { slowdown, predictedMs } = tracker.select(PLAIN, { only })!;
    t.true(Math.abs(slowdown - before[i]!.slowdown) < 0.01, `${slowdown}`);
    const changeMs = Math.abs(predictedMs - before[i]!.predictedMs);
    t.true(changeMs < 1, `${changeMs}`);
  }
});

test("a caller that leaves during a response tells nothing of its length", (t) => {
  const { tracker, servers, advance } = createPool(1);
  tracker.updateServers([{
    ...servers[0]!,
    slots: 1,
    models: [{ name: "m", adapters: [] }],
  }]);
  const request = { ...PLAIN, model: "m", promptTokens: 10 };
  tracker.dispatch(request, tracker.select(request)!);
  const before = tracker.select(request)!.waitMs;
  for (let i = 0; i < 50; i += 1) {
    const tracked = tracker.dispatch(request, tracker.select(request)!);
    tracked.started();
    advance(1);
    tracked.finished("cut off");
  }
  const { waitMs, slowdown } = tracker.select(request)!;
  t.true(Math.abs(waitMs / slowdown - before) < 1, `${waitMs} and ${before}`);
});

test("a caller that reads slowly doesn't make a plain replica look slow", (t) => {
  const { tracker, servers, advance } = createPool(2);
  const serve = (i: number, bodyMs: number) => {
    const selection = tracker.select(PLAIN, { only: servers[i]! })!;
    const tracked = tracker.dispatch(PLAIN, selection);
    advance(50);
    tracked.started();
    advance(bodyMs);
    tracked.finished();
  };
  for (let i = 0; i < 400; i += 1) serve(i % 2, 0);
  for (let i = 0; i < 10; i += 1) serve(0, 3000);
  const [read, other] = servers.map((only) => tracker.select(PLAIN, { only })!);
  t.true(read!.predictedMs < 60, `${read!.predictedMs}`);
  t.true(read!.slowdown < 1.05 * other!.slowdown, `${read!.slowdown}`);
});
