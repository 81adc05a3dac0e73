import test from "ava";
import { MemoryLedger } from "@banyanspool/ledger";
import { AdapterCache } from "./adapter_cache.ts";

function createCache(adapters: string[]) {
  const state = { now: 10 };
  const clock = { now: () => state.now, wall: () => state.now };
  const ledger = MemoryLedger.create({
    clock,
    memoryMib: 100,
    orderLifetimeMs: 1,
  });
  const items = adapters.map((name) => ({
    name,
    mib: 10,
    state: "ready" as const,
  }));
  ledger.applyInventory({ items, sequences: [] }, 5);
  const cache = AdapterCache.create({
    clock,
    ledger: () => ledger,
    maxWeightsMib: 40,
  });
  return { cache, state };
}

test("the least recently used adapters are evicted first", (t) => {
  const { cache, state } = createCache(["m/a", "m/b", "m/c", "m/d"]);
  for (const name of ["m/b", "m/a", "m/d", "m/c"]) {
    state.now += 1;
    cache.acquire(name);
    cache.release(name);
  }
  t.deepEqual(cache.chooseEvictions(20), ["m/b", "m/a"]);
});

test("models and adapters in use are never evicted", (t) => {
  const { cache } = createCache(["m", "m/a", "m/b", "m/c"]);
  cache.acquire("m/a");
  t.deepEqual(cache.chooseEvictions(40), ["m/b", "m/c"]);
});

test("an adapter that is being unloaded is not usable", (t) => {
  const { cache } = createCache(["m/a"]);
  t.true(cache.isUsable("m/a"));
  cache.beginUnload("m/a");
  t.false(cache.isUsable("m/a"));
});
