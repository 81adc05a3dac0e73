import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { FirstBytePredictor } from "./first_byte_prediction.ts";
import { type SelectionRequest, usualTimeMs } from "./selection.ts";
import {
  createRandom,
  createServer as server,
  createTracker,
} from "./testing/tracker.ts";

const PLAIN: SelectionRequest = {
  service: "pool",
  promptTokens: 0,
  outputTokens: 0,
  promptParts: [],
  excluded: new Set(),
};
const IDLE = { requests: 0, prefillTokens: 0, kvTokens: 0 };

function createPool(servers: readonly BackendServer[]) {
  const { tracker, advance } = createTracker(servers);
  const serve = (elapsedMsOf: (id: string) => number) => {
    const selection = tracker.select(PLAIN)!;
    const tracked = tracker.dispatch(PLAIN, selection);
    advance(elapsedMsOf(selection.server.id));
    tracked.started();
    tracked.finished();
    return selection.server.id;
  };
  return { tracker, advance, serve };
}

for (const shortPerLong of [0, 4, 19]) {
  test(`${shortPerLong} short prompts to a long one, at a fixed cost above the assumed: the long one is predicted well`, (t) => {
    let now = 0;
    const predictor = FirstBytePredictor.create({
      clock: { now: () => now, wall: () => now },
      kvCapacityOf: () => undefined,
    });
    const predict = (i: number, promptTokens: number) => {
      const request = { ...PLAIN, model: "m", promptTokens };
      const context = {
        server: server(`r${i % 2}`),
        load: IDLE,
        preference: -1,
      };
      return { request, selection: predictor.predict(request, context) };
    };
    for (let i = 0; i < 4000; i += 1) {
      const isLong = Math.floor(i / 2) % (shortPerLong + 1) === shortPerLong;
      const promptTokens = isLong ? 9000 : 100;
      const { request, selection } = predict(i, promptTokens);
      const sent = { selection, sentAt: now };
      now += 8 + 25 + promptTokens / 9000 * 300;
      predictor.recordStart(request, sent);
      predictor.recordEnd(request, sent);
      now += 25;
    }
    const { predictedMs } = predict(0, 9000).selection;
    t.true(
      predictedMs > 333 / 1.2 && predictedMs < 333 * 1.2,
      `${predictedMs}`,
    );
  });
}

for (const slowAnswers of [1, 3]) {
  test(`${slowAnswers} first answers near the timeout, then a pause: the usual time at an idle replica is short again`, (t) => {
    const { tracker, advance, serve } = createPool([
      server("r0"),
      server("r1"),
    ]);
    for (let i = 0; i < slowAnswers; i += 1) serve(() => 290);
    advance(2000);
    const [r0, r1] = ["r0", "r1"].map((id) =>
      tracker.select(PLAIN, { only: server(id) })!
    );
    t.true(usualTimeMs(r0!) < 100, `${usualTimeMs(r0!)}`);
    t.true(usualTimeMs(r1!) < 100, `${usualTimeMs(r1!)}`);
  });
}

test("a slow service with a busy replica, after a pause: its usual time isn't the assumed one", (t) => {
  const { tracker, advance, serve } = createPool([server("r0")]);
  for (let i = 0; i < 100; i += 1) serve(() => 290);
  tracker.dispatch(PLAIN, tracker.select(PLAIN)!);
  advance(2000);
  const usualMs = usualTimeMs(tracker.select(PLAIN)!);
  t.true(usualMs > 200, `${usualMs}`);
});

test("one replica gets nearly all requests and turns slow: it is left soon", (t) => {
  const { advance, serve } = createPool([server("r0"), server("r1")]);
  // The other one was slow until now.
  const usualMs = (id: string) => id === "r0" ? 50 : 150;
  for (let i = 0; i < 400; i += 1) {
    serve(usualMs);
    advance(50);
  }
  const used = Array.from({ length: 40 }, () => {
    advance(50);
    return serve((id) => id === "r0" ? 200 : 50);
  });
  const slow = used.filter((id) => id === "r0").length;
  t.true(slow <= 8, `${slow}`);
});

for (const ids of [["r0"], ["r0", "r1"]]) {
  test(`exponential times, one of ${ids.length} replicas gets nearly all requests: its mean is predicted`, (t) => {
    const { tracker, advance, serve } = createPool(
      ids.map((id) => server(id)),
    );
    const random = createRandom(1);
    const predicted: number[] = [];
    for (let i = 0; i < 4000; i += 1) {
      serve((id) => -Math.log(1 - random()) * (id === "r0" ? 50 : 300));
      advance(50);
      if (i < 500) continue;
      const r0 = tracker.select(PLAIN, { only: server("r0") })!;
      predicted.push(r0.predictedMs);
    }
    const sumMs = predicted.reduce((sum, ms) => sum + ms, 0);
    const meanMs = sumMs / predicted.length;
    t.true(meanMs > 50 / 1.2 && meanMs < 50 * 1.2, `${meanMs}`);
  });
}

test("answers of a replica that has restarted since tell nothing of its new process", (t) => {
  const { tracker, advance, serve } = createPool([
    server("r0"),
    server("r1"),
  ]);
  for (let i = 0; i < 200; i += 1) serve(() => 50);
  const only = server("r0");
  const tracked = Array.from(
    { length: 10 },
    () => tracker.dispatch(PLAIN, tracker.select(PLAIN, { only })!),
  );
  tracker.updateServers([server("r0", { startedAt: 2 }), server("r1")]);
  advance(400);
  for (const { started, finished } of tracked) {
    started();
    finished();
  }
  const [r0, r1] = [server("r0", { startedAt: 2 }), server("r1")].map((only) =>
    tracker.select(PLAIN, { only })!
  );
  const ratio = r0!.slowdown / r1!.slowdown;
  t.true(Math.abs(ratio - 1) < 0.05, `${ratio}`);
});

test("long work, 50 ms more at one replica: it goes to the other", (t) => {
  const { tracker } = createPool([server("r0"), server("r1")]);
  const model = { ...PLAIN, model: "m" };
  const other = { ...model, promptTokens: 1500 };
  tracker.dispatch(other, tracker.select(other, { only: server("r1") })!);
  const long = { ...model, promptTokens: 60_000 };
  const used = Array.from(
    { length: 50 },
    () => tracker.select(long)!.server.id,
  );
  t.deepEqual(used, used.map(() => "r0"));
});
