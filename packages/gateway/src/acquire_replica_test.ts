import test from "ava";
import { Quarantine } from "@banyanspool/quarantine";
import {
  LimitTable,
  ReplicaPauses,
  ReplicaPermits,
} from "@banyanspool/replica-limits";
import { ReplicaTracker, type SelectionRequest } from "@banyanspool/routing";
import {
  type BackendServer,
  incarnationOf,
  type Route,
} from "@banyanspool/types";
import { acquireReplica, callerFirstByteTimeoutMs } from "./acquire_replica.ts";
import { ChangeSignal } from "./change_signal.ts";
import type { GatewayContext } from "./context.ts";
import { ExpectedModels } from "./expected_models.ts";
import { jitterRetryAfter } from "./refusals.ts";
import { fingerprintOf } from "./request_fingerprint.ts";
import type { RequestScope } from "./request_scope.ts";
import { WaitingRequestCounts } from "./waiting_request_counts.ts";

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

function backendServer(id: string, models: string[]): BackendServer {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 4,
    draining: false,
    softwareVersion: "v1",
    startedAt: 1,
    sequence: 1,
    models: models.map((name) => ({ name, adapters: [] })),
  };
}

const REQUEST: SelectionRequest = {
  service: "pool",
  model: "m",
  promptTokens: 100,
  outputTokens: 50,
  promptParts: [],
  excluded: new Set(),
};

const PENDING = { request: REQUEST, waitingSince: 0 };

/** A gateway whose waits for a change end at once and advance its clock. */
function createGateway(servers: BackendServer[], liveEntryCount = 1) {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const replicaLimits = LimitTable.create({ clock, onChange: () => {} });
  const replicaPermits = ReplicaPermits.create({
    clock,
    sleep: () => Promise.resolve(),
    random: () => 0,
    instance: "gateway-1",
    limitOf: (replica) => replicaLimits.get(replica),
    issuersOf: () => ["gateway-1"],
    isResponsive: () => true,
    reachableShare: () => 1,
    send: () => {},
  });
  const replicaPauses = ReplicaPauses.create({
    clock,
    sleep: () => Promise.resolve(),
    onPause: () => {},
  });
  const replicaTracker = ReplicaTracker.create({
    clock,
    random: () => 0.7,
    dataCentre: "north",
    liveEntryCount: () => liveEntryCount,
    kvCapacityOf: () => undefined,
    permitStateOf: (server) => replicaPermits.stateOf(incarnationOf(server)),
    admits: (server, waiting) =>
      replicaPauses.admits(incarnationOf(server), waiting),
  });
  replicaTracker.updateServers(servers);
  const changed = ChangeSignal.create();
  changed.wait = (maxMs) => {
    now += maxMs;
    return Promise.resolve();
  };
  const ctx = {
    clock,
    random: () => 0,
    replicaTracker,
    replicaLimits,
    replicaPermits,
    replicaPauses,
    coldReplicas: { limitOf: () => undefined },
    metrics: { deniedPermits: { inc: () => {} } },
    fleet: { changed },
    waitingRequests: WaitingRequestCounts.create({ clock }),
    expectedModels: ExpectedModels.create({ clock }),
    quarantine: Quarantine.create({
      clock,
      isTrialOwner: () => true,
      onStart: () => changed.notify(),
      onCleared: () => {},
    }),
  } as unknown as GatewayContext;
  const scope = {
    req: { method: "POST" },
    caller: { target: "/", promptParts: [] },
    route: route({ targetLatencyMs: 400, eventGapTargetMs: 200 }),
    arrivedAt: 0,
    deadlineAt: 15_000,
    signal: new AbortController().signal,
    activeConfiguration: { configuration: { services: new Map() } },
  } as unknown as RequestScope;
  /** Acquires a replica for a request that arrives some time later, in ms. */
  const acquireAfter = (ms: number, { target = "/" } = {}) => {
    now += ms;
    const later = {
      ...scope,
      caller: { ...scope.caller, target },
      arrivedAt: now,
      deadlineAt: now + 15_000,
    };
    return acquireReplica(ctx, later, { request: REQUEST, waitingSince: now });
  };
  return { ctx, scope, acquireAfter, elapsedMs: () => now };
}

test("a request for a model that takes longer to load than the caller waits is refused at once with the time of the load's end", async (t) => {
  const { ctx, scope, elapsedMs } = createGateway([]);
  ctx.expectedModels.update(new Map([["m", 3200]]));
  const acquired = await acquireReplica(ctx, scope, PENDING);
  t.false(acquired.ok);
  t.is(elapsedMs(), 0);
  t.is(!acquired.ok && acquired.error.retryAfterMs, 3200);
  t.is(ctx.waitingRequests.waiting.get("m"), 1, "until the caller is back");
  await ctx.fleet.changed.wait(3300);
  t.is(ctx.waitingRequests.waiting.get("m"), undefined);
});

test("a request waits for a model that will be loaded in time", async (t) => {
  const { ctx, scope, elapsedMs } = createGateway([]);
  ctx.expectedModels.update(new Map([["m", 900]]));
  const acquiring = acquireReplica(ctx, scope, PENDING);
  ctx.replicaTracker.updateServers([backendServer("r1", ["m"])]);
  t.true((await acquiring).ok);
  t.true(elapsedMs() < 900);
});

test("a caller that would come back before the load's end waits for a part of the time", async (t) => {
  const { ctx, scope, elapsedMs } = createGateway([]);
  ctx.expectedModels.update(new Map([["m", 3500]]));
  const impatient = { ...scope, deadlineAt: 4000 };
  const acquired = await acquireReplica(ctx, impatient, PENDING);
  t.false(acquired.ok);
  t.true(elapsedMs() > 400, "a third of its time is too short at once");
  t.true(elapsedMs() < 1850);
});

test("a steady rush on one replica is refused as long as nobody in a longer queue would be in time", async (t) => {
  const { ctx, scope } = createGateway([backendServer("r1", ["m"])]);
  let accepted = 0;
  for (let i = 0; i < 20; i += 1) {
    const acquired = await acquireReplica(ctx, scope, PENDING);
    if (!acquired.ok) continue;
    accepted += 1;
    ctx.replicaTracker.dispatch(REQUEST, acquired.value);
    t.true(acquired.value.waitMs <= scope.route.targetLatencyMs);
  }
  t.true(accepted >= 4, "every slot is used");
  t.true(accepted < 20, "the rest is refused");
});

test("a stream that is cut off after seconds is resumed, as its caller waits since the last event", async (t) => {
  const { ctx, scope } = createGateway([backendServer("r1", ["m"])]);
  await ctx.fleet.changed.wait(5000);
  const arrived = { request: REQUEST, waitingSince: 0 };
  t.false((await acquireReplica(ctx, scope, arrived)).ok);
  const resumed = { request: REQUEST, waitingSince: 4900 };
  t.true((await acquireReplica(ctx, scope, resumed)).ok);
});

test("one of many entries refuses nothing while any replica is free", async (t) => {
  const servers = Array.from(
    { length: 8 },
    (_, i) => backendServer(`r${i}`, ["m"]),
  );
  const { ctx, scope } = createGateway(servers, 68);
  const full = { requests: 40, prefillTokens: 0, kvTokens: 0, adapters: [] };
  ctx.replicaTracker.updatePeerLoad(
    "other",
    new Map(
      servers.slice(1).map(({ id }) => [
        id,
        { ...full, models: new Map([["m", 40]]) },
      ]),
    ),
  );
  const acquired = await acquireReplica(ctx, scope, PENDING);
  t.is(acquired.ok && acquired.value.server.id, "r0");
});

test("one of many entries holds no request back while a replica is idle", async (t) => {
  const servers = Array.from(
    { length: 8 },
    (_, i) => backendServer(`r${i}`, ["m"]),
  );
  const { ctx, scope, elapsedMs } = createGateway(servers, 68);
  const busy = { requests: 12, prefillTokens: 0, kvTokens: 0, adapters: [] };
  ctx.replicaTracker.updatePeerLoad(
    "other",
    new Map(
      servers.slice(1).map(({ id }) => [
        id,
        { ...busy, models: new Map([["m", 12]]) },
      ]),
    ),
  );
  const shares = [{ service: "pool", weight: 1 }];
  const patient = route({ priority: 2, targetLatencyMs: 8000, shares });
  const routes = [route({ targetLatencyMs: 400, shares }), patient];
  const activeConfiguration = {
    configuration: { services: new Map(), routes },
  } as unknown as RequestScope["activeConfiguration"];
  const acquired = await acquireReplica(
    ctx,
    { ...scope, route: patient, activeConfiguration },
    PENDING,
  );
  t.is(acquired.ok && acquired.value.server.id, "r0");
  t.is(elapsedMs(), 0);
});

test("an idle replica isn't refused as it was slow or lost requests", async (t) => {
  const server = backendServer("r1", ["m"]);
  const { ctx, scope } = createGateway([server]);
  const { replicaTracker, clock } = ctx;
  const request = { ...REQUEST, promptTokens: 20_000 };
  for (let i = 0; i < 50; i += 1) {
    const selection = replicaTracker.select(request)!;
    const tracked = replicaTracker.dispatch(request, selection);
    const load = { requests: 0, slowdown: 8, sentAt: clock.now() };
    replicaTracker.recordStatedLoad(server, load);
    await ctx.fleet.changed.wait(500);
    tracked.finished("cut off");
  }
  t.true(replicaTracker.select(request)!.slowdown > 4);
  const now = clock.now();
  const later = { ...scope, arrivedAt: now, deadlineAt: now + 15_000 };
  const pending = { request, waitingSince: now };
  t.true((await acquireReplica(ctx, later, pending)).ok);
});

/** Names a limit of 2 requests a second for a replica. */
function limit({ replicaLimits }: GatewayContext, server: BackendServer): void {
  const replica = incarnationOf(server);
  replicaLimits.record({ replica, ratePerS: 2, sentAt: -1 });
}

test("a rush beyond the limit of one replica goes to another one", async (t) => {
  const servers = ["r1", "r2"].map((id) => backendServer(id, ["m"]));
  const { ctx, acquireAfter } = createGateway(servers);
  limit(ctx, servers[1]!);
  const sent = new Map([["r1", 0], ["r2", 0]]);
  for (let i = 0; i < 100; i += 1) {
    const acquired = await acquireAfter(40);
    if (!acquired.ok) return t.fail(acquired.error.message);
    const { id } = acquired.value.server;
    sent.set(id, sent.get(id)! + 1);
    const tracked = ctx.replicaTracker.dispatch(REQUEST, acquired.value);
    tracked.started();
    tracked.finished();
  }
  t.true(sent.get("r2")! > 0, "a limit is no ban");
  t.true(sent.get("r2")! <= 8, `${sent.get("r2")} requests in 4 s`);
});

test("a rush on one replica with a limit is refused at once beyond it, with a time at which the caller is served", async (t) => {
  const server = backendServer("r1", ["m"]);
  const { ctx, acquireAfter } = createGateway([server]);
  limit(ctx, server);
  let served = 0;
  let first: { target: string; afterMs: number } | undefined;
  for (let elapsedMs = 40; elapsedMs <= 4000; elapsedMs += 40) {
    const isReturn = first !== undefined && elapsedMs >= first.afterMs;
    const target = isReturn ? first!.target : `/${elapsedMs}`;
    const acquired = await acquireAfter(40, { target });
    if (isReturn) {
      t.true(acquired.ok);
      first = { target, afterMs: Infinity };
    }
    if (acquired.ok) {
      served += 1;
      continue;
    }
    t.is(acquired.error.code, "replica_limit_reached");
    t.is(acquired.error.ran, "no");
    const retryAfterMs = acquired.error.retryAfterMs!;
    t.true(retryAfterMs > 0);
    first ??= { target, afterMs: elapsedMs + retryAfterMs };
  }
  t.true(served >= 6 && served <= 8, `${served} requests in 4 s`);
});

test("a stream that is cut off waits for a permit, as a refusal would end it", async (t) => {
  const server = backendServer("r1", ["m"]);
  const { ctx, scope, acquireAfter, elapsedMs } = createGateway([server]);
  limit(ctx, server);
  t.false((await acquireAfter(100)).ok);
  const resumed = { request: REQUEST, waitingSince: elapsedMs() };
  t.true((await acquireReplica(ctx, scope, resumed)).ok);
  t.true(elapsedMs() >= 500, `${elapsedMs()} ms`);
});

test("requests go on waiting when a pass through them fails", async (t) => {
  const { ctx, scope } = createGateway([]);
  const { changed } = ctx.fleet;
  const { wait } = changed;
  const events: string[] = [];
  const log = { write: (event: string) => void events.push(event) };
  let waits = 0;
  changed.wait = (maxMs) => {
    waits += 1;
    if (waits === 1) return Promise.reject(new Error("Planted failure"));
    ctx.replicaTracker.updateServers([backendServer("r1", ["m"])]);
    return wait(maxMs);
  };
  const failing = { ...ctx, log } as unknown as GatewayContext;
  t.true((await acquireReplica(failing, scope, PENDING)).ok);
  t.deepEqual(events, ["waiting pass failed"]);
});

test("a stream that waits for a permit doesn't keep others that wait from claiming one", async (t) => {
  const server = backendServer("r1", ["m"]);
  const { ctx, scope, elapsedMs } = createGateway([]);
  const caller = new AbortController();
  const stream = acquireReplica(
    ctx,
    { ...scope, signal: caller.signal },
    { request: REQUEST, waitingSince: 1 },
  );
  const later = { ...scope, route: { ...scope.route, priority: 1 } };
  const acquiring = acquireReplica(ctx, later, PENDING);
  await ctx.fleet.changed.wait(10);
  limit(ctx, server);
  ctx.replicaTracker.updateServers([server]);
  const from = elapsedMs();
  const { exhausted } = ctx.replicaTracker;
  let claimedAt = Infinity;
  ctx.replicaTracker.exhausted = (request) => {
    claimedAt = Math.min(claimedAt, elapsedMs());
    return exhausted.call(ctx.replicaTracker, request);
  };
  const acquired = await acquiring;
  t.is(!acquired.ok && acquired.error.code, "replica_limit_reached");
  t.true(claimedAt - from <= 120, `after ${claimedAt - from} ms`);
  caller.abort();
  await stream;
});

test("a request that waits is refused when a part of its prompt is quarantined", async (t) => {
  const { ctx, scope, elapsedMs } = createGateway([]);
  const promptParts = ["bad", "own"].map((id) => ({ id, tokens: 10 }));
  const withParts = { ...scope, caller: { ...scope.caller, promptParts } };
  const acquiring = acquireReplica(ctx, withParts, PENDING);
  for (const replica of ["r1", "r2", "r3"]) {
    await ctx.fleet.changed.wait(300);
    ctx.quarantine.recordCrash(replica, [{ digest: replica, parts: ["bad"] }]);
  }
  const acquired = await acquiring;
  t.is(!acquired.ok && acquired.error.code, "prompt_quarantined");
  t.true(elapsedMs() < 1500);
});

test("a request that was in flight at two crashes is tried, but not at the last replica of its service", async (t) => {
  const servers = ["r1", "r2", "r3"].map((id) => backendServer(id, ["m"]));
  const { ctx, scope, elapsedMs } = createGateway(servers);
  const suspect = fingerprintOf(scope);
  for (const replica of ["r1", "r2"]) {
    ctx.quarantine.recordCrash(replica, [suspect]);
    ctx.replicaTracker.markCrashed(replica);
  }
  const last = await acquireReplica(ctx, scope, PENDING);
  t.is(!last.ok && last.error.code, "request_quarantined");
  t.is(elapsedMs(), 0, "refused at once");
  const returned = { ...backendServer("r1", ["m"]), startedAt: 2 };
  ctx.replicaTracker.updateServers([returned, ...servers.slice(1)]);
  t.true((await acquireReplica(ctx, scope, PENDING)).ok);
  t.false((await acquireReplica(ctx, scope, PENDING)).ok, "one at a time");
});

test("a request whose replicas are all paused is refused at once with the first one's end if its caller would leave before", async (t) => {
  const servers = ["r1", "r2"].map((id) => backendServer(id, ["m"]));
  const { ctx, scope, elapsedMs } = createGateway(servers);
  for (const [i, server] of servers.entries()) {
    const forMs = 4000 + 1000 * i;
    ctx.replicaPauses.record(incarnationOf(server), { forMs });
  }
  const refused = await acquireReplica(ctx, scope, PENDING);
  t.is(elapsedMs(), 0);
  t.false(refused.ok);
  if (refused.ok) return;
  t.is(refused.error.ran, "no");
  t.true(refused.error.retryAfterMs! >= 4000);
  t.true(refused.error.retryAfterMs! <= 5000);
});

test("a request waits for the end of a pause that its caller waits for, and one at a time follows", async (t) => {
  const server = backendServer("r1", ["m"]);
  const { ctx, scope, elapsedMs } = createGateway([server]);
  ctx.replicaPauses.record(incarnationOf(server), { forMs: 900 });
  const acquired = await acquireReplica(ctx, scope, PENDING);
  t.true(acquired.ok);
  t.true(elapsedMs() >= 900 && elapsedMs() < 1000, `${elapsedMs()} ms`);
  if (!acquired.ok) return;
  ctx.replicaTracker.dispatch(REQUEST, acquired.value);
  t.false(ctx.replicaTracker.admits(server));
});

test("a request that one paused replica turned away is told the time of its end, not a guess", async (t) => {
  const server = backendServer("r1", []);
  const { ctx, scope } = createGateway([server]);
  ctx.replicaPauses.record(incarnationOf(server), { forMs: 3000 });
  const request = {
    ...REQUEST,
    model: undefined,
    excluded: new Set(["r1"]),
  };
  const refused = await acquireReplica(ctx, scope, {
    request,
    waitingSince: 0,
  });
  t.false(refused.ok);
  if (!refused.ok) t.true(refused.error.retryAfterMs! >= 3000);
});
