import test from "ava";
import { InvariantChecker } from "./invariant_checker.ts";

const SENT = { gateway: 0, incarnation: 0, atMs: 0 };
const COMPLETE = {
  status: 200,
  isComplete: true,
  stamp: "stamp-of-i-1",
  text: "data: r1 begins\n\ndata: r1 ends\n\n",
};

function createChecker(): InvariantChecker {
  const checker = InvariantChecker.create({
    applyMs: 2000,
    undisturbedMs: 1000,
    drainMs: 2000,
    limitMs: 3000,
    crashMs: 6000,
    pauseGraceMs: 1000,
  });
  checker.recordKey("key", "acme");
  return checker;
}

function createReceived(id: string, fields = {}) {
  return {
    id,
    target: "GET /",
    organisation: "acme",
    tokens: 10,
    hasKey: false,
    ...fields,
  };
}

function getInvariants(checker: InvariantChecker): string[] {
  return checker.violations.map(({ invariant }) => invariant);
}

test("a request that runs once and gets a complete response violates nothing", (t) => {
  const checker = createChecker();
  checker.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  checker.recordRun(createReceived("r1"), "i-1", 5);
  checker.recordResponse("r1", COMPLETE);
  t.deepEqual(getInvariants(checker), []);
});

test("a booking that runs twice is a violation, a look-up that runs twice is not", (t) => {
  const checker = createChecker();
  checker.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  checker.recordRequest({ ...SENT, id: "r2", route: "look", key: "key" });
  for (const id of ["r1", "r2"]) {
    checker.recordRun(createReceived(id), "i-1", 5);
    checker.recordRun(createReceived(id), "i-2", 6);
  }
  t.deepEqual(getInvariants(checker), [
    "a non-idempotent request runs at most once",
  ]);
});

test("a run after the response that reported the request as not run is a violation", (t) => {
  const checker = createChecker();
  checker.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  checker.recordResponse("r1", { status: 503, isComplete: true, text: "" });
  checker.recordRun(createReceived("r1"), "i-1", 5);
  t.deepEqual(getInvariants(checker), [
    "a request reported as not run has not run",
  ]);
});

test("a passed-on key, another organisation and an unknown request are violations", (t) => {
  const checker = createChecker();
  for (const id of ["r1", "r2"]) {
    checker.recordRequest({ ...SENT, id, route: "look", key: "key" });
  }
  checker.recordRun(createReceived("r1", { hasKey: true }), "i-1", 5);
  checker.recordRun(createReceived("r2", { organisation: "other" }), "i-1", 5);
  checker.recordRun(createReceived("r3"), "i-1", 5);
  t.deepEqual(getInvariants(checker), [
    "no key reaches a replica",
    "a request runs for the organisation of its key",
    "a replica runs only requests that a caller sent",
  ]);
});

test("a truncated response with status 200 and one of another request are violations", (t) => {
  const checker = createChecker();
  for (const id of ["r1", "r2"]) {
    checker.recordRequest({ ...SENT, id, route: "look", key: "key" });
    checker.recordRun(createReceived(id), "i-1", 5);
  }
  checker.recordResponse("r1", { ...COMPLETE, text: "data: r1 begins\n\n" });
  checker.recordResponse("r2", COMPLETE);
  t.is(checker.violations.length, 2);
});

test("a withdrawn key that works after the bound is a violation, unless the gateway had faults", (t) => {
  for (const isDisturbed of [false, true]) {
    const checker = createChecker();
    checker.recordWithdrawal("key", 1000);
    if (isDisturbed) checker.recordDisturbance(0, 500, 700);
    checker.recordRequest({
      ...SENT,
      id: "r1",
      route: "look",
      key: "key",
      atMs: 2900,
    });
    checker.recordRun(createReceived("r1"), "i-1", 2910);
    t.deepEqual(getInvariants(checker), []);
    checker.recordRequest({
      ...SENT,
      id: "r2",
      route: "look",
      key: "key",
      atMs: 3100,
    });
    checker.recordRun(createReceived("r2"), "i-1", 3110);
    t.is(checker.violations.length, isDisturbed ? 0 : 1);
  }
});

test("a withdrawn key that works after it was refused is a violation", (t) => {
  const checker = createChecker();
  checker.recordWithdrawal("key", 1000);
  checker.recordRequest({
    ...SENT,
    id: "r1",
    route: "look",
    key: "key",
    atMs: 1100,
  });
  checker.recordResponse("r1", { status: 401, isComplete: true, text: "" });
  checker.recordRequest({
    ...SENT,
    id: "r2",
    route: "look",
    key: "key",
    atMs: 1200,
  });
  checker.recordRun(createReceived("r2"), "i-1", 1210);
  t.deepEqual(getInvariants(checker), [
    "a gateway never returns to an older configuration",
  ]);
});

test("a key that was refused before its grant had arrived, and withdrawn just after it, is no violation", (t) => {
  const checker = createChecker();
  const sent = { ...SENT, route: "look", key: "key" };
  checker.recordRequest({ ...sent, id: "r1", atMs: 900 });
  checker.recordResponse("r1", { status: 401, isComplete: true, text: "" });
  checker.recordWithdrawal("key", 1000);
  checker.recordRequest({ ...sent, id: "r2", atMs: 1000 });
  checker.recordRun(createReceived("r2"), "i-1", 1001);
  t.deepEqual(getInvariants(checker), []);
});

test("a request that reaches a draining replica after the bound is a violation", (t) => {
  const checker = createChecker();
  checker.recordDraining("i-1", 1000);
  checker.recordRequest({
    ...SENT,
    id: "r1",
    route: "look",
    key: "key",
    atMs: 3000,
  });
  checker.recordRun(createReceived("r1"), "i-1", 3100);
  t.deepEqual(getInvariants(checker), [
    "a drained replica receives no requests",
  ]);
});

test("tokens beyond an organisation's rate and burst are a violation, unless sent before the window", (t) => {
  const checker = createChecker();
  checker.recordTokenLimit("acme", { windowMs: 1000, tokens: 100 });
  const run = (
    id: string,
    { atMs, ranAt }: { atMs: number; ranAt: number },
  ) => {
    const request = { ...SENT, id, route: "look", key: "key", atMs };
    checker.recordRequest(request);
    checker.recordRun(createReceived(id, { tokens: 60 }), "i-1", ranAt);
  };
  run("r1", { atMs: 0, ranAt: 1100 });
  run("r2", { atMs: 950, ranAt: 1200 });
  t.deepEqual(getInvariants(checker), []);
  run("r3", { atMs: 990, ranAt: 1300 });
  t.deepEqual(getInvariants(checker), [
    "an organisation gets no more than its rate and burst",
  ]);
});

test("a request that crashes replicas may reach three more once it should be known", (t) => {
  const checker = createChecker();
  for (const [i, atMs] of [0, 50, 100, 5000, 6200, 6300, 6400].entries()) {
    const id = `r${i}`;
    checker.recordRequest({ ...SENT, id, route: "look", key: "key", atMs });
    checker.recordCrash(createReceived(id), atMs);
  }
  t.deepEqual(getInvariants(checker), []);
  checker.recordRequest({ ...SENT, id: "r", route: "look", key: "key" });
  checker.recordCrash(createReceived("r"), 6500);
  t.deepEqual(getInvariants(checker), [
    "a request that crashes replicas is kept away from them",
  ]);
});

test("two requests may come to a replica in a pause after a moment, from a process that was asked for it", (t) => {
  const checker = createChecker();
  const send = (id: string, atMs: number, incarnation = 0) => {
    const sent = { ...SENT, id, route: "look", key: "key", atMs, incarnation };
    checker.recordRequest(sent);
    return id;
  };
  const pause = { replica: "i-1", forMs: 3000 };
  checker.recordRejection(send("r0", 0), pause, 0);
  for (const [i, atMs] of [500, 1500, 2500, 3500].entries()) {
    checker.recordRun(createReceived(send(`a${i}`, atMs)), "i-1", atMs);
    checker.recordRun(createReceived(send(`b${i}`, atMs, 1)), "i-1", atMs);
  }
  t.deepEqual(getInvariants(checker), []);
  checker.recordRun(createReceived(send("c", 2900)), "i-1", 2900);
  t.deepEqual(getInvariants(checker), [
    "a replica that turns requests away for a time gets none until then",
  ]);
});

test("a process that passed on that a replica leaves sends it nothing later", (t) => {
  const checker = createChecker();
  const run = (id: string, atMs: number, incarnation = 0) => {
    const sent = { ...SENT, id, route: "look", key: "key", atMs, incarnation };
    checker.recordRequest(sent);
    checker.recordRun(createReceived(id), "i-1", atMs);
  };
  run("r1", 0);
  checker.recordResponse("r1", { ...COMPLETE, isLeaving: true });
  run("r2", 1500);
  run("r3", 5000, 1);
  t.deepEqual(getInvariants(checker), []);
  run("r4", 2500);
  t.deepEqual(getInvariants(checker), [
    "a replica that says that it leaves receives no requests",
  ]);
});
