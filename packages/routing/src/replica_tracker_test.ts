import test from "ava";
import type { PermitState } from "@banyanspool/replica-limits";
import type { BackendServer } from "@banyanspool/types";
import { ReplicaTracker } from "./replica_tracker.ts";
import type { SelectionRequest } from "./selection.ts";

function server(id: string, options: Partial<BackendServer> = {}) {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 64,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: [{ name: "m", adapters: ["a1"] }],
    ...options,
  };
}

function request(options: Partial<SelectionRequest> = {}): SelectionRequest {
  return {
    service: "pool",
    model: "m",
    promptTokens: 9000,
    outputTokens: 50,
    promptParts: [],
    excluded: new Set(),
    ...options,
  };
}

function createTracker(
  servers: BackendServer[],
  permitStates: Record<string, PermitState> = {},
  admitted: Record<string, number> = {},
) {
  let now = 0;
  const tracker = ReplicaTracker.create({
    clock: { now: () => now, wall: () => now },
    random: () => 0.7,
    dataCentre: "north",
    liveEntryCount: () => 1,
    kvCapacityOf: () => 200_000,
    permitStateOf: ({ id }) => permitStates[id] ?? "unlimited",
    admits: ({ id }, waiting) => waiting < (admitted[id] ?? Infinity),
  });
  tracker.updateServers(servers);
  return { tracker, advance: (ms: number) => now += ms };
}

test("a long prompt goes to the replica without queued prompts", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2")]);
  const first = tracker.select(request())!;
  tracker.dispatch(request(), first);
  const second = tracker.select(request())!;
  t.not(second.server.id, first.server.id);
  t.is(second.waitMs, 0);
});

test("load that other entries report counts like the entry's own load", (t) => {
  const { tracker, advance } = createTracker([server("r1"), server("r2")]);
  const busy = {
    requests: 5,
    prefillTokens: 60_000,
    kvTokens: 60_000,
    adapters: [],
    models: new Map([["m", 5]]),
  };
  tracker.updatePeerLoad("other", new Map([["r1", busy]]));
  t.is(tracker.select(request())?.server.id, "r2");
  advance(1100);
  t.is(tracker.loadAt("r1").requests, 0, "load of a silent entry expires");
});

test("a session returns to the replica that has its prompt cached", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2"), server("r3")]);
  const parts = [{ id: "book", tokens: 2500 }, { id: "s7", tokens: 3800 }];
  const session = request({ promptParts: parts });
  const first = tracker.select(session)!;
  const sent = tracker.dispatch(session, first);
  sent.started();
  sent.finished();
  const again = tracker.select(session)!;
  t.is(again.server.id, first.server.id);
  t.is(again.uncachedTokens, 9000 - 6300);
});

test("a preferred replica is not selected while it is busy", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2")]);
  const parts = [{ id: "s7", tokens: 3000 }];
  const session = request({ promptParts: parts, promptTokens: 4000 });
  const first = tracker.select(session)!;
  for (let i = 0; i < 5; i += 1) tracker.dispatch(session, first);
  t.not(tracker.select(session)!.server.id, first.server.id);
});

test("many entries with the same old reports don't all send to the idlest replica", (t) => {
  let state = 20_261_204;
  const random = () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
  const servers = Array.from({ length: 10 }, (_, i) => server(`r${i}`));
  const reported = new Map(servers.map(({ id }, i) => [id, {
    requests: 10 + i,
    prefillTokens: 0,
    kvTokens: 0,
    adapters: [],
    models: new Map([["m", 10 + i]]),
  }]));
  const sent = new Map<string, number>();
  const entries = 68;
  for (let i = 0; i < entries; i += 1) {
    const tracker = ReplicaTracker.create({
      clock: { now: () => 0, wall: () => 0 },
      random,
      dataCentre: "north",
      liveEntryCount: () => entries,
      kvCapacityOf: () => 200_000,
      permitStateOf: () => "unlimited",
      admits: () => true,
    });
    tracker.updateServers(servers);
    tracker.updatePeerLoad("other", reported);
    const promptParts = [{ id: `s${i}`, tokens: 100 }];
    const { id } = tracker.select(request({ promptParts }))!.server;
    sent.set(id, (sent.get(id) ?? 0) + 1);
  }
  t.true(Math.max(...sent.values()) <= entries / 2, JSON.stringify([...sent]));
  t.true(sent.size >= 5);
});

test("only a replica with the model and the adapter is selected", (t) => {
  const { tracker } = createTracker([
    server("r1", { models: [{ name: "m", adapters: [] }] }),
    server("r2"),
    server("r3", { draining: true }),
  ]);
  t.is(tracker.select(request({ adapter: "a1" }))?.server.id, "r2");
  t.is(tracker.select(request({ adapter: "a9" })), undefined);
  t.is(tracker.select(request({ model: "other" })), undefined);
});

test("the lease holder's announcement takes precedence over a replica's older row", (t) => {
  const { tracker, advance } = createTracker([server("r1"), server("r2")]);
  tracker.updateAvailableModels(
    new Map([
      ["r1", { startedAt: 1, names: new Set(["new"]) }],
      ["r2", { startedAt: 0, names: new Set(["new"]) }],
    ]),
  );
  t.is(tracker.select(request({ model: "new" }))?.server.id, "r1");
  t.is(tracker.select(request())?.server.id, "r2", "r2 has restarted since");
  advance(3000);
  tracker.recordListRead();
  t.is(tracker.select(request({ model: "new" })), undefined);
});

test("an announcement counts until the list is read again, as in an outage of the store", (t) => {
  const { tracker, advance } = createTracker([server("r1")]);
  tracker.recordListRead();
  advance(4000);
  tracker.updateAvailableModels(
    new Map([["r1", { startedAt: 1, names: new Set(["new"]) }]]),
  );
  advance(10_000);
  t.is(tracker.select(request({ model: "new" }))?.server.id, "r1");
  t.is(tracker.select(request()), undefined, "unloaded since the row was read");
  tracker.recordListRead();
  t.is(tracker.select(request())?.server.id, "r1");
});

test("a replica that rejected a model is skipped for a limited time", (t) => {
  const { tracker, advance } = createTracker([server("r1")]);
  tracker.markRejected("r1", { name: "m", reason: "missing" });
  t.is(tracker.select(request()), undefined);
  advance(1300);
  t.is(tracker.select(request())?.server.id, "r1");
});

test("a replica with overdue requests is not selected for others", (t) => {
  const { tracker, advance } = createTracker([server("r1"), server("r2")]);
  const small = request({ promptTokens: 10 });
  const first = tracker.select(small)!;
  tracker.dispatch(small, first);
  advance(1600);
  const other = first.server.id === "r1" ? "r2" : "r1";
  for (let i = 0; i < 5; i += 1) {
    const next = tracker.select(small)!;
    t.is(next.server.id, other);
    const sent = tracker.dispatch(small, next);
    sent.started();
    sent.finished();
  }
});

test("an unreachable replica is selected again after a limited time", (t) => {
  const { tracker, advance } = createTracker([server("r1")]);
  tracker.markUnreachable("r1");
  t.is(tracker.select(request()), undefined);
  advance(700);
  t.is(tracker.select(request())?.server.id, "r1");
});

test("an ejected replica is a candidate only if no other is left", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2")]);
  for (let i = 0; i < 3; i += 1) {
    tracker.outliers.record("pool", { replica: "r1", observation: "failure" });
  }
  t.deepEqual(tracker.candidates(request()).map(({ id }) => id), ["r2"]);
  const rest = request({ excluded: new Set(["r2"]) });
  t.deepEqual(tracker.candidates(rest).map(({ id }) => id), ["r1"]);
});

test("unreachable and ejected replicas are suspected for some time", (t) => {
  const { tracker, advance } = createTracker([
    server("r1"),
    server("r2"),
    server("r3"),
  ]);
  t.deepEqual(tracker.suspected(), []);
  tracker.markUnreachable("r1");
  for (let i = 0; i < 3; i += 1) {
    tracker.outliers.record("pool", { replica: "r2", observation: "failure" });
    tracker.outliers.record("pool", { replica: "r3", observation: "success" });
  }
  t.deepEqual(tracker.suspected(), ["r1", "r2"]);
  advance(60_000);
  t.deepEqual(tracker.suspected(), []);
});

test("a request that several replicas could serve takes no reserved permit of one with a limit", (t) => {
  const permitStates: Record<string, PermitState> = { r1: "available" };
  const { tracker } = createTracker(
    [server("r1"), server("r2")],
    permitStates,
  );
  const busy = { excluded: new Set(["r2"]) };
  const selected = new Set(
    Array.from({ length: 9 }, () => {
      const selection = tracker.select(request())!;
      tracker.dispatch(request(), selection);
      return `${selection.server.id} ${selection.permit}`;
    }),
  );
  t.deepEqual(selected, new Set(["r2 undefined", "r1 spare"]));
  permitStates.r1 = "reserved";
  t.is(tracker.select(request())?.server.id, "r2");
  t.is(tracker.select(request(busy))?.permit, "any");
  t.is(tracker.select(request(), { onlyLimited: true })?.permit, "any");
  permitStates.r1 = "exhausted";
  t.is(tracker.select(request(busy)), undefined);
  t.is(tracker.select(request(), { onlyLimited: true }), undefined);
  t.deepEqual(tracker.exhausted(request()).map(({ id }) => id), ["r1"]);
});

test("an ejected replica serves what the limits of the others don't allow", (t) => {
  const permitStates: Record<string, PermitState> = { r1: "exhausted" };
  const { tracker } = createTracker(
    [server("r1"), server("r2")],
    permitStates,
  );
  for (let i = 0; i < 3; i += 1) {
    tracker.outliers.record("pool", { replica: "r2", observation: "failure" });
  }
  t.is(tracker.select(request())?.server.id, "r2");
  permitStates.r1 = "available";
  t.is(tracker.select(request())?.server.id, "r1");
});

test("a replica takes as many requests of this entry as are admitted, and is reported as paused beyond", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2")], {}, {
    r1: 0,
    r2: 1,
  });
  const selected = tracker.select(request())!;
  t.is(selected.server.id, "r2");
  t.true(tracker.admits(selected.server));
  const { finished } = tracker.dispatch(request(), selected);
  t.false(tracker.admits(selected.server));
  t.is(tracker.select(request()), undefined);
  t.deepEqual(tracker.paused(request()).map(({ id }) => id), ["r1", "r2"]);
  finished();
  t.is(tracker.select(request())?.server.id, "r2");
});

// Streams that went on through a replica's pause kept it from being used after it.
test("requests whose response has begun don't count against those that are admitted", (t) => {
  const { tracker } = createTracker([server("r1")], {}, { r1: 1 });
  const { started } = tracker.dispatch(request(), tracker.select(request())!);
  t.is(tracker.select(request()), undefined);
  started();
  t.is(tracker.select(request())?.server.id, "r1");
});

/** Sends plain requests one after the other to replicas that differ in speed. */
function sendPlain(slowMs: number) {
  const plain = request({ model: undefined, promptTokens: 0 });
  const slots = { slots: 6, models: [] };
  const { tracker, advance } = createTracker([
    server("fast", slots),
    server("slow", slots),
  ]);
  const serve = (excluded: string) => {
    const next = { ...plain, excluded: new Set([excluded]) };
    const selection = tracker.select(next)!;
    const tracked = tracker.dispatch(next, selection);
    advance(selection.server.id === "slow" ? slowMs : 20);
    tracked.started();
    tracked.finished();
  };
  for (let i = 0; i < 60; i += 1) serve(i % 2 === 0 ? "fast" : "slow");
  return { tracker, plain };
}

test("a plain service with one slow replica: it gets fewer requests at once", (t) => {
  const { tracker, plain } = sendPlain(60);
  const sent = { fast: 0, slow: 0 };
  for (let i = 0; i < 30; i += 1) {
    const selection = tracker.select(plain)!;
    sent[selection.server.id as "fast" | "slow"] += 1;
    tracker.dispatch(plain, selection);
  }
  t.true(sent.fast >= 18, JSON.stringify(sent));
  t.true(sent.slow >= 1, "what waits at the fast one would be late");
});

test("what was learnt of a replica is gone once it restarts", (t) => {
  const { tracker, plain } = sendPlain(60);
  const slow = tracker.servers.get("slow")!;
  const only = { only: slow };
  t.true(tracker.select(plain, only)!.slowdown > 1.2);
  tracker.updateServers([
    { ...slow, startedAt: 2 },
    { ...slow, id: "newcomer" },
  ]);
  const newcomer = tracker.servers.get("newcomer");
  const usual = tracker.select(plain, { only: newcomer })!.slowdown;
  t.true(usual < 1.2, `${usual}`);
  t.is(tracker.select(plain, only)!.slowdown, usual);
  tracker.recordStatedLoad(slow, { requests: 90, slowdown: 9, sentAt: 0 });
  const { slowdown, inFlight } = tracker.select(plain, only)!;
  t.deepEqual({ slowdown, inFlight }, { slowdown: usual, inFlight: 0 });
});

test("work that the gateway doesn't know of is avoided once a replica states it", (t) => {
  const { tracker } = createTracker([server("r1"), server("r2")]);
  const load = { requests: 90, sentAt: 0 };
  tracker.recordStatedLoad(tracker.servers.get("r1")!, load);
  t.is(tracker.select(request())?.server.id, "r2");
  t.is(tracker.select(request(), { only: server("r1") })?.inFlight, 90);
});

test("lost requests tell nothing of a replica's speed", (t) => {
  const { tracker, advance } = createTracker([server("r1")]);
  const before = tracker.select(request());
  for (const afterMs of [1, ...Array.from({ length: 50 }, () => 5000)]) {
    const tracked = tracker.dispatch(request(), tracker.select(request())!);
    advance(afterMs);
    tracked.finished("cut off");
    t.deepEqual(tracker.select(request()), before);
  }
});
