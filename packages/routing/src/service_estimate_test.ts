import test from "ava";
import type { SelectionRequest } from "./selection.ts";
import { createServer, createTracker } from "./testing/tracker.ts";

const REPLICAS = ["r0", "r1", "r2"];
/** Requests within which each replica of a service is to be used. */
const SOON = 40;

function createPool() {
  const models = [{ name: "m", adapters: [] }, { name: "n", adapters: [] }];
  const servers = REPLICAS.map((id) => createServer(id, { models }));
  const { tracker, random, advance } = createTracker([]);
  /** Sends a request and returns the replica that it went to. */
  const serve = (request: SelectionRequest, elapsedMs: number) => {
    const selection = tracker.select(request)!;
    const tracked = tracker.dispatch(request, selection);
    advance(elapsedMs * (0.9 + 0.2 * random()));
    tracked.started();
    tracked.finished();
    advance(25);
    return selection.server.id;
  };
  return { tracker, servers, serve };
}

function request(model: string | undefined, promptTokens: number) {
  return {
    service: "pool",
    model,
    promptTokens,
    outputTokens: 0,
    promptParts: [],
    excluded: new Set<string>(),
  };
}

const CASES = [
  { name: "2 ms each", model: undefined, tokens: 0, elapsedMs: 2 },
  { name: "300 ms each", model: undefined, tokens: 0, elapsedMs: 300 },
  {
    name: "prompts at 3 tokens a ms",
    model: "m",
    tokens: 3000,
    elapsedMs: 1008,
  },
  {
    name: "prompts at 300 tokens a ms",
    model: "m",
    tokens: 9000,
    elapsedMs: 38,
  },
] as const;

for (const { name, model, tokens, elapsedMs } of CASES) {
  test(`equal replicas, ${name}, the first estimate is far off: all are used soon`, (t) => {
    for (const firstMs of [elapsedMs, elapsedMs * 8]) {
      const { tracker, servers, serve } = createPool();
      tracker.updateServers(servers.slice(0, 2));
      // The first replica alone is known to the gateway for a moment.
      for (let i = 0; i < 10; i += 1) {
        serve(
          { ...request(model, tokens), excluded: new Set(["r1"]) },
          i === 0 ? firstMs : elapsedMs,
        );
      }
      tracker.updateServers(servers);
      const used = Array.from(
        { length: SOON },
        () => serve(request(model, tokens), elapsedMs),
      );
      const counts = REPLICAS.map((id) =>
        used.filter((at) => at === id).length
      );
      t.true(Math.min(...counts) > 3, `${counts}`);
    }
  });
}

test("equal replicas become faster while one is passed over for some seconds: it is used soon again", (t) => {
  const { tracker, servers, serve } = createPool();
  tracker.updateServers(servers.slice(0, 2));
  const plain = request(undefined, 0);
  for (let i = 0; i < 60; i += 1) serve(plain, 160);
  for (let i = 0; i < 100; i += 1) {
    serve({ ...plain, excluded: new Set(["r0"]) }, 2);
  }
  const used = Array.from({ length: SOON }, () => serve(plain, 2));
  const share = used.filter((at) => at === "r0").length;
  t.true(share > 5, `${share} of ${SOON}`);
});
