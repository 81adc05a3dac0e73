import test from "ava";
import { type AdapterHost, planAdapterLoad } from "./adapter_plan.ts";

function host(replica: string, options: Partial<AdapterHost> = {}) {
  return {
    replica,
    adapters: [],
    inUse: new Set<string>(),
    lastUsed: new Map<string, number>(),
    adapterSlots: 2,
    queuedTasks: 0,
    ...options,
  };
}

test("a replica with a free slot is preferred to an eviction", (t) => {
  const plan = planAdapterLoad([
    host("full", { adapters: ["m/a1", "m/a2"] }),
    host("free", { adapters: ["m/a1"] }),
  ]);
  t.deepEqual(plan, { replica: "free", evict: undefined });
});

test("with all slots taken the adapter idle for longest is evicted", (t) => {
  const plan = planAdapterLoad([
    host("r1", {
      adapters: ["m/a1", "m/a2"],
      lastUsed: new Map([["m/a1", 50], ["m/a2", 20]]),
    }),
    host("r2", {
      adapters: ["m/a3", "m/a4"],
      lastUsed: new Map([["m/a3", 40], ["m/a4", 30]]),
    }),
  ]);
  t.deepEqual(plan, { replica: "r1", evict: "m/a2" });
});

test("adapters in use are never evicted", (t) => {
  const busy = host("r1", {
    adapters: ["m/a1", "m/a2"],
    inUse: new Set(["m/a1", "m/a2"]),
  });
  t.is(planAdapterLoad([busy]), undefined);
});
