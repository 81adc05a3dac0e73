import test from "ava";
import {
  chat,
  event,
  startFleet,
  startGateway,
} from "./testing/running_gateway.ts";

const REQUESTS = 24;

// A late copy of its first rejection was believed while the replica ran it.
test("a request that was sent to a replica again isn't taken for rejected by a copy of its first rejection", async (t) => {
  const fleet = await startFleet(t);
  const runs = new Map<string, number>();
  const replica = await fleet.addReplica({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
    answer: ({ headers }, res) => {
      const id = String(headers["request-id"]);
      const before = runs.get(id);
      runs.set(id, before === undefined ? 0 : before + 1);
      if (before === undefined) {
        res.removeHeader("response-stamp");
        res.writeHead(503, { "not-executed": "1" }).end();
        return;
      }
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1));
    },
  });
  replica.repeats = (target) => target === "/draft/";
  const { send } = await startGateway(t, fleet);
  const statuses = new Set<number>();
  for (let i = 0; i < REQUESTS; i += 1) {
    const { headers, ...request } = chat("m1");
    const id = `repeated-${i}`;
    const { status } = await send("/draft/", {
      ...request,
      headers: { ...headers, "request-id": id },
    });
    statuses.add(status);
    t.true(runs.get(id)! <= 1, `${id} ran ${runs.get(id)} times`);
    if (status === 503) t.is(runs.get(id), 0, `${id} was refused and ran`);
  }
  t.true(statuses.has(502), "a copy arrived where its own response was due");
});

// Late copies of the answers to orders and reports reached callers as theirs.
test("copies of the answers to orders and reports never reach callers", async (t) => {
  const fleet = await startFleet(t, { adapterSlots: 1 });
  const replica = await fleet.addReplica({
    id: "i-1",
    service: "pool",
    holds: ["m1"],
    answer: (_req, res) => {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.end(event(1));
    },
  });
  replica.repeats = (target) => target.startsWith("/v1/");
  const { send } = await startGateway(t, fleet);
  for (let i = 0; i < REQUESTS; i += 1) {
    const res = await send("/draft/", chat(`m1/a${1 + i % 2}`));
    t.is(res.body, event(1));
    t.is(res.headers["response-stamp"], "stamp-of-i-1");
  }
  t.true(replica.orders.length > 2, `${replica.orders}`);
});

// A failure that the replica doesn't call a rejection was passed on as one.
for (const status of [408, 429, 503]) {
  test(`a replica's ${status} that doesn't say "not run" isn't a refusal of a booking`, async (t) => {
    const fleet = await startFleet(t);
    await fleet.addReplica({
      id: "i-1",
      service: "desk",
      answer: (_req, res) => void res.writeHead(status).end(),
    });
    const { send } = await startGateway(t, fleet);
    const res = await send("/book/", { method: "POST", body: "x" });
    t.is(res.status, 502);
    t.is(res.headers["response-stamp"], undefined);
  });
}
