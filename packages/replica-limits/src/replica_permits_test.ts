import test from "ava";
import { ReplicaPermits } from "./replica_permits.ts";

const REPLICA = "replica 1";
const RATE_PER_S = 2;
const INSTANCES = ["gateway-1", "gateway-2", "gateway-3"];

/** Gateways that reach each other at once; the first one issues the permits. */
function createGateways() {
  let now = 0;
  let messages = 0;
  const gateways = new Map<string, ReplicaPermits>();
  for (const instance of INSTANCES) {
    gateways.set(
      instance,
      ReplicaPermits.create({
        clock: { now: () => now, wall: () => now },
        sleep: (_ms, signal) =>
          new Promise((resolve) =>
            signal?.addEventListener("abort", () => resolve())
          ),
        random: () => 0,
        instance,
        limitOf: () => RATE_PER_S,
        issuersOf: () => INSTANCES,
        isResponsive: () => true,
        reachableShare: () => 1,
        send: (to, message) => {
          messages += 1;
          queueMicrotask(() => gateways.get(to)!.receive(instance, message));
        },
      }),
    );
  }
  const claim = (instance: string, organisation: string, request: string) =>
    gateways.get(instance)!.claim(REPLICA, {
      organisation,
      priority: 1,
      request,
    }, { withinMs: 5000 });
  return {
    claim,
    pass: (ms: number) => {
      now += ms;
    },
    messageCount: () => messages,
  };
}

// A caller that came back at the time it was told was refused once more.
test("a permit that was promised at one gateway is got at another", async (t) => {
  const { claim, pass } = createGateways();
  const denied = await claim("gateway-2", "acme", "request 1");
  t.false(denied.granted);
  pass(denied.granted ? 0 : denied.retryInMs);
  t.false((await claim("gateway-3", "acme", "request 2")).granted);
  t.true((await claim("gateway-3", "acme", "request 1")).granted);
  t.false((await claim("gateway-3", "acme", "request 1")).granted);
});

// A rush on a replica without permits would have sent a message each.
test("claims of a rush are bounded, those of other organisations aren't", async (t) => {
  const { claim, messageCount } = createGateways();
  const rush = Array.from(
    { length: 500 },
    (_, i) => claim("gateway-2", "flood", `request ${i}`),
  );
  await Promise.all(rush);
  const before = messageCount();
  t.true(before <= 2 * 8 * RATE_PER_S, `${before} messages`);
  await claim("gateway-2", "small", "request");
  t.is(messageCount(), before + 2);
});
