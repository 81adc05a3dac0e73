import test from "ava";
import { InvariantChecker } from "./invariant_checker.ts";

const SENT = { gateway: 0, incarnation: 0, atMs: 0 };
const WHOLE = {
  status: 200,
  isComplete: true,
  stamp: "stamp-of-i-1",
  text: "data: r1 begins\n\ndata: r1 ends\n\n",
};

function createWitness(): InvariantChecker {
  const witness = InvariantChecker.create({
    applyMs: 2000,
    undisturbedMs: 1000,
    drainMs: 2000,
  });
  witness.recordKey("key", "acme");
  return witness;
}

function seen(id: string, fields = {}) {
  return {
    id,
    target: "GET /",
    organisation: "acme",
    tokens: 10,
    hasKey: false,
    ...fields,
  };
}

function promises(witness: InvariantChecker): string[] {
  return witness.violations.map(({ invariant: promise }) => promise);
}

test("a request that runs once and is answered whole breaks nothing", (t) => {
  const witness = createWitness();
  witness.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  witness.recordRun(seen("r1"), "i-1", 5);
  witness.recordResponse("r1", WHOLE);
  t.deepEqual(promises(witness), []);
});

test("a booking that runs twice is found, a look-up may run twice", (t) => {
  const witness = createWitness();
  witness.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  witness.recordRequest({ ...SENT, id: "r2", route: "look", key: "key" });
  for (const id of ["r1", "r2"]) {
    witness.recordRun(seen(id), "i-1", 5);
    witness.recordRun(seen(id), "i-2", 6);
  }
  t.deepEqual(promises(witness), ["at most once"]);
});

test("a run after the answer that says it has not run is found", (t) => {
  const witness = createWitness();
  witness.recordRequest({ ...SENT, id: "r1", route: "book", key: "key" });
  witness.recordResponse("r1", { status: 503, isComplete: true, text: "" });
  witness.recordRun(seen("r1"), "i-1", 5);
  t.deepEqual(promises(witness), ["not run means not run"]);
});

test("a key, another owner and an unknown request are found", (t) => {
  const witness = createWitness();
  for (const id of ["r1", "r2"]) {
    witness.recordRequest({ ...SENT, id, route: "look", key: "key" });
  }
  witness.recordRun(seen("r1", { hasKey: true }), "i-1", 5);
  witness.recordRun(seen("r2", { organisation: "other" }), "i-1", 5);
  witness.recordRun(seen("r3"), "i-1", 5);
  t.deepEqual(promises(witness), [
    "no key is passed on",
    "a request runs for the key's owner",
    "only what was asked runs",
  ]);
});

test("a torn answer that looks whole and one of another are found", (t) => {
  const witness = createWitness();
  for (const id of ["r1", "r2"]) {
    witness.recordRequest({ ...SENT, id, route: "look", key: "key" });
    witness.recordRun(seen(id), "i-1", 5);
  }
  witness.recordResponse("r1", { ...WHOLE, text: "data: r1 begins\n\n" });
  witness.recordResponse("r2", WHOLE);
  t.is(witness.violations.length, 2);
});

test("a withdrawn key: found past the bound, not where the gateway was disturbed", (t) => {
  for (const isDisturbed of [false, true]) {
    const witness = createWitness();
    witness.recordWithdrawal("key", 1000);
    if (isDisturbed) witness.recordDisturbance(0, 500, 700);
    witness.recordRequest({
      ...SENT,
      id: "r1",
      route: "look",
      key: "key",
      atMs: 2900,
    });
    witness.recordRun(seen("r1"), "i-1", 2910);
    t.deepEqual(promises(witness), []);
    witness.recordRequest({
      ...SENT,
      id: "r2",
      route: "look",
      key: "key",
      atMs: 3100,
    });
    witness.recordRun(seen("r2"), "i-1", 3110);
    t.is(witness.violations.length, isDisturbed ? 0 : 1);
  }
});

test("a withdrawn key that was refused and works again is found", (t) => {
  const witness = createWitness();
  witness.recordWithdrawal("key", 1000);
  witness.recordRequest({
    ...SENT,
    id: "r1",
    route: "look",
    key: "key",
    atMs: 1100,
  });
  witness.recordResponse("r1", { status: 401, isComplete: true, text: "" });
  witness.recordRequest({
    ...SENT,
    id: "r2",
    route: "look",
    key: "key",
    atMs: 1200,
  });
  witness.recordRun(seen("r2"), "i-1", 1210);
  t.deepEqual(promises(witness), ["no configuration comes back"]);
});

test("a request to a replica that left long ago is found", (t) => {
  const witness = createWitness();
  witness.recordDraining("i-1", 1000);
  witness.recordRequest({
    ...SENT,
    id: "r1",
    route: "look",
    key: "key",
    atMs: 3000,
  });
  witness.recordRun(seen("r1"), "i-1", 3100);
  t.deepEqual(promises(witness), [
    "nothing comes to a replica that has left",
  ]);
});
