import test from "ava";
import { Router } from "./router.ts";
import { createReport } from "./testing/reports.ts";

function createRouter(sampleSize = 4) {
  const state = { now: 0, draw: 0 };
  const router = Router.create({
    clock: { now: () => state.now, wall: () => state.now },
    random: () => {
      state.draw = (state.draw + 0.37) % 1;
      return state.draw;
    },
    rttMs: (dataCentre) => dataCentre === "centre-a" ? 1 : 50,
    reportLagMs: 1000,
    sampleSize,
  });
  return { router, state };
}

const REQUEST = {
  model: "m",
  adapter: "",
  promptTokens: 100,
  prefixes: [] as string[],
  blockTokens: 100,
  excluded: new Set<string>(),
};

function pick(router: Router, fields = {}): string | undefined {
  return router.dispatch({ ...REQUEST, ...fields })?.report.replica;
}

test("the replica with the shorter queue is chosen", (t) => {
  const { router } = createRouter();
  router.update(createReport("busy", { queuedTokens: 5000 }));
  router.update(createReport("idle"));
  t.is(pick(router), "idle");
});

test("requests sent since the report count in addition to it", (t) => {
  const { router } = createRouter();
  router.update(createReport("a"));
  router.update(createReport("b"));
  const picks = Array.from({ length: 10 }, () => pick(router));
  t.is(picks.filter((replica) => replica === "a").length, 5);
});

test("a cached prefix outweighs a short queue but not a long queue", (t) => {
  const { router } = createRouter();
  const prefixes = Array.from({ length: 10 }, (_, i) => `block-${i}`);
  const reading = { prefixes, promptTokens: 1000 };
  router.update(createReport("a"));
  const first = router.dispatch({ ...REQUEST, ...reading })!;
  first.finished();
  router.update(createReport("b"));
  router.update(createReport("a", { sequence: 2, queuedTokens: 500 }));
  t.is(pick(router, reading), "a");
  router.update(createReport("a", { sequence: 3, queuedTokens: 5000 }));
  t.is(pick(router, reading), "b");
});

test("a far data centre is chosen only if the near replica is slower", (t) => {
  const { router } = createRouter();
  router.update(createReport("near", { queuedTokens: 20 }));
  router.update(createReport("far", { dataCentre: "centre-z" }));
  t.is(pick(router), "near");
  router.update(createReport("near", { sequence: 2, queuedTokens: 400 }));
  t.is(pick(router), "far");
});

test("an avoided replica is chosen again after a limited time", (t) => {
  const { router, state } = createRouter();
  router.update(createReport("a"));
  router.avoid("a");
  t.is(pick(router), undefined);
  state.now += 10_000;
  t.is(pick(router), "a");
});

test("a replica avoided for one model still serves others", (t) => {
  const { router } = createRouter();
  router.update(createReport("a", { readyModels: ["m", "n"] }));
  router.avoidModel("a", "m");
  t.is(pick(router), undefined);
  t.is(pick(router, { model: "n" }), "a");
});

test("draining and excluded replicas are not chosen", (t) => {
  const { router } = createRouter();
  router.update(createReport("a", { leaving: true }));
  router.update(createReport("b"));
  t.is(pick(router, { excluded: new Set(["b"]) }), undefined);
});

test("many routers with the same stale reports use several replicas", (t) => {
  const picks = new Map<string, number>();
  for (let entry = 0; entry < 64; entry += 1) {
    const { router, state } = createRouter(2);
    state.draw = entry / 64;
    for (let replica = 0; replica < 16; replica += 1) {
      const queuedTokens = replica === 0 ? 0 : 100;
      router.update(createReport(`replica-${replica}`, { queuedTokens }));
    }
    const replica = pick(router)!;
    picks.set(replica, (picks.get(replica) ?? 0) + 1);
  }
  const toIdle = picks.get("replica-0") ?? 0;
  t.true(toIdle < 32, `${toIdle} of 64 chose the idle replica`);
});
