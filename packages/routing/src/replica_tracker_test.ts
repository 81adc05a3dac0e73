import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { ReplicaTracker, type SelectionRequest } from "./replica_tracker.ts";

function server(id: string, options: Partial<BackendServer> = {}) {
  return {
    id,
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "north",
    slots: 64,
    leaving: false,
    startedAt: 1,
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

function createBoard(servers: BackendServer[]) {
  let now = 0;
  const board = ReplicaTracker.create({
    clock: { now: () => now, wall: () => now },
    random: () => 0.7,
    dataCentre: "north",
    kvCapacityOf: () => 200_000,
  });
  board.updateServers(servers);
  return { board, advance: (ms: number) => now += ms };
}

test("long prompts queue: the next one goes to the replica without them", (t) => {
  const { board } = createBoard([server("r1"), server("r2")]);
  const first = board.select(request())!;
  board.dispatch(request(), first);
  const second = board.select(request())!;
  t.not(second.server.id, first.server.id);
  t.is(second.waitMs, 0);
});

test("work that other entries report counts like one's own", (t) => {
  const { board, advance } = createBoard([server("r1"), server("r2")]);
  const busy = {
    requests: 5,
    prefillTokens: 60_000,
    kvTokens: 60_000,
    adapters: [],
    models: new Map([["m", 5]]),
  };
  board.updatePeerLoad("other", new Map([["r1", busy]]));
  t.is(board.select(request())?.server.id, "r2");
  advance(1100);
  t.is(board.loadAt("r1").requests, 0, "a silent entry's work has ended");
});

test("returning sessions go where their prompt was read", (t) => {
  const { board } = createBoard([server("r1"), server("r2"), server("r3")]);
  const parts = [{ id: "book", tokens: 2500 }, { id: "s7", tokens: 3800 }];
  const session = request({ promptParts: parts });
  const first = board.select(session)!;
  const sent = board.dispatch(session, first);
  sent.started();
  sent.finished();
  const again = board.select(session)!;
  t.is(again.server.id, first.server.id);
  t.is(again.uncachedTokens, 9000 - 6300);
});

test("a busy preferred replica is passed over", (t) => {
  const { board } = createBoard([server("r1"), server("r2")]);
  const parts = [{ id: "s7", tokens: 3000 }];
  const session = request({ promptParts: parts, promptTokens: 4000 });
  const first = board.select(session)!;
  for (let i = 0; i < 5; i += 1) board.dispatch(session, first);
  t.not(board.select(session)!.server.id, first.server.id);
});

test("only replicas that hold the model and the adapter are chosen", (t) => {
  const { board } = createBoard([
    server("r1", { models: [{ name: "m", adapters: [] }] }),
    server("r2"),
    server("r3", { leaving: true }),
  ]);
  t.is(board.select(request({ adapter: "a1" }))?.server.id, "r2");
  t.is(board.select(request({ adapter: "a9" })), undefined);
  t.is(board.select(request({ model: "other" })), undefined);
});

test("the placement holder's word goes before the replica's older row", (t) => {
  const { board, advance } = createBoard([server("r1"), server("r2")]);
  board.updateAvailableModels(
    new Map([
      ["r1", { startedAt: 1, names: new Set(["new"]) }],
      ["r2", { startedAt: 0, names: new Set(["new"]) }],
    ]),
  );
  t.is(board.select(request({ model: "new" }))?.server.id, "r1");
  t.is(board.select(request())?.server.id, "r2", "another life of r2");
  advance(3000);
  t.is(board.select(request({ model: "new" })), undefined);
});

test("a replica that rejected a model is skipped for a moment", (t) => {
  const { board, advance } = createBoard([server("r1")]);
  board.markRejected("r1", { name: "m", reason: "missing" });
  t.is(board.select(request()), undefined);
  advance(1300);
  t.is(board.select(request())?.server.id, "r1");
});

test("mute replica: unanswered requests turn others away from it", (t) => {
  const { board, advance } = createBoard([server("r1"), server("r2")]);
  const small = request({ promptTokens: 10 });
  const first = board.select(small)!;
  board.dispatch(small, first);
  advance(1600);
  const other = first.server.id === "r1" ? "r2" : "r1";
  for (let i = 0; i < 5; i += 1) {
    const next = board.select(small)!;
    t.is(next.server.id, other);
    const sent = board.dispatch(small, next);
    sent.started();
    sent.finished();
  }
});

test("a replica that can't be reached is tried again after a while", (t) => {
  const { board, advance } = createBoard([server("r1")]);
  board.markUnreachable("r1");
  t.is(board.select(request()), undefined);
  advance(700);
  t.is(board.select(request())?.server.id, "r1");
});

test("an ejected replica is used only where no other is left", (t) => {
  const { board } = createBoard([server("r1"), server("r2")]);
  for (let i = 0; i < 3; i += 1) {
    board.outliers.record("pool", { replica: "r1", observation: "failure" });
  }
  t.deepEqual(board.candidates(request()).map(({ id }) => id), ["r2"]);
  const rest = request({ excluded: new Set(["r2"]) });
  t.deepEqual(board.candidates(rest).map(({ id }) => id), ["r1"]);
});

test("replicas that can't be reached or fail are suspected, for a while", (t) => {
  const { board, advance } = createBoard([
    server("r1"),
    server("r2"),
    server("r3"),
  ]);
  t.deepEqual(board.suspected(), []);
  board.markUnreachable("r1");
  for (let i = 0; i < 3; i += 1) {
    board.outliers.record("pool", { replica: "r2", observation: "failure" });
    board.outliers.record("pool", { replica: "r3", observation: "success" });
  }
  t.deepEqual(board.suspected(), ["r1", "r2"]);
  advance(60_000);
  t.deepEqual(board.suspected(), []);
});
