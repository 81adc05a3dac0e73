import test from "ava";
import fc from "fast-check";
import { fitsAdapter, fitsModel } from "./memory_fit.ts";

const SIZES = {
  weightsMb: 220,
  adapterSlots: 2,
  models: new Map([
    ["big", { weightsMb: 73, adapterMb: 1 }],
    ["small", { weightsMb: 65, adapterMb: 1 }],
    ["other", { weightsMb: 73, adapterMb: 1 }],
    ["fourth", { weightsMb: 65, adapterMb: 1 }],
  ]),
};

test("a fourth model and a third adapter don't fit", (t) => {
  const held = {
    models: new Set(["big", "small", "other"]),
    adapters: new Set(["big/a1", "big/a2"]),
  };
  t.false(fitsModel("fourth", held, SIZES));
  t.false(fitsAdapter("big", held, SIZES));
});

test("a model that is not listed may be of any size", (t) => {
  const held = { models: new Set(["gone"]), adapters: new Set<string>() };
  t.false(fitsModel("small", held, SIZES));
});

test("no sequence of loads that fit exceeds memory or places", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(
        fc.constantFrom(...SIZES.models.keys()),
        fc.option(fc.constantFrom("a1", "a2", "a3")),
      )),
      (loads) => {
        const held = { models: new Set<string>(), adapters: new Set<string>() };
        for (const [model, adapter] of loads) {
          if (adapter !== null && held.models.has(model)) {
            if (fitsAdapter(model, held, SIZES)) {
              held.adapters.add(`${model}/${adapter}`);
            }
            continue;
          }
          if (held.models.has(model)) continue;
          if (fitsModel(model, held, SIZES)) held.models.add(model);
        }
        let sum = held.adapters.size;
        for (const model of held.models) {
          sum += SIZES.models.get(model)!.weightsMb;
        }
        return sum <= SIZES.weightsMb &&
          held.adapters.size <= SIZES.adapterSlots;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});
