import test from "ava";
import type { BackendServer } from "@banyanspool/types";
import { type ConnectResult, CrashWatch } from "./crash_watch.ts";

const REPLICA: BackendServer = {
  id: "i-1",
  service: "pool",
  address: "127.0.0.1:1",
  dataCentre: "north",
  slots: 1,
  draining: false,
  softwareVersion: "v1",
  startedAt: 7,
  sequence: 1,
  models: [],
};

const request = (digest: string) => ({ digest, parts: [] });

/** A watch of replicas that answer connections in this way. */
function createWatch(
  results: readonly ConnectResult[],
  isServing: () => boolean = () => true,
) {
  let now = 0;
  const crashes: string[] = [];
  const connects: string[] = [];
  const watch = CrashWatch.create({
    clock: { now: () => now, wall: () => now },
    tryConnect: (address) => {
      connects.push(address);
      return Promise.resolve(results[connects.length - 1] ?? "unknown");
    },
    isServing,
    onCrash: ({ requests }) =>
      crashes.push(requests.map(({ digest }) => digest).join()),
  });
  const settle = () => new Promise((resolve) => setImmediate(resolve));
  return {
    watch,
    crashes,
    connects,
    settle,
    advance: (ms: number) => now += ms,
  };
}

test("a replica that cuts off requests and refuses connections has crashed", async (t) => {
  const { watch, crashes, connects, settle } = createWatch(["refused"]);
  void watch.recordCutOff(REPLICA, request("a"));
  void watch.recordCutOff(REPLICA, request("b"));
  await settle();
  void watch.recordCutOff(REPLICA, request("c"));
  t.deepEqual(crashes, ["a,b", "c"]);
  t.is(connects.length, 1);
});

for (const result of ["accepted", "unknown"] as const) {
  test(`a replica whose connection is ${result} has not crashed`, async (t) => {
    const { watch, crashes, settle } = createWatch([result]);
    void watch.recordCutOff(REPLICA, request("a"));
    await settle();
    t.deepEqual(crashes, []);
  });
}

test("a replica that cut off one request and crashes later is checked again", async (t) => {
  const { watch, crashes, settle, advance } = createWatch([
    "accepted",
    "refused",
  ]);
  void watch.recordCutOff(REPLICA, request("a"));
  await settle();
  advance(5000);
  void watch.recordCutOff(REPLICA, request("b"));
  await settle();
  t.deepEqual(crashes, ["b"]);
});

test("a replica that was draining or has left the list has not crashed", async (t) => {
  const { watch, connects, settle } = createWatch(["refused"], () => false);
  void watch.recordCutOff(REPLICA, request("a"));
  await settle();
  t.is(connects.length, 0);
});

test("a cut-off is recorded once it is known whether the replica has crashed", async (t) => {
  const { watch, crashes } = createWatch(["refused"]);
  const first = watch.recordCutOff(REPLICA, request("a"));
  await watch.recordCutOff(REPLICA, request("b"));
  t.deepEqual(crashes, ["a,b"]);
  await first;
});
