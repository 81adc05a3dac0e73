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
  const resident = {
    models: new Set(["big", "small", "other"]),
    adapters: new Set(["big/a1", "big/a2"]),
  };
  t.false(fitsModel("fourth", resident, SIZES));
  t.false(fitsAdapter("big", resident, SIZES));
});

test("a resident model without a listed size leaves no free memory", (t) => {
  const resident = { models: new Set(["gone"]), adapters: new Set<string>() };
  t.false(fitsModel("small", resident, SIZES));
});

test("no sequence of loads that fit exceeds memory or adapter slots", (t) => {
  fc.assert(
    fc.property(
      fc.array(fc.tuple(
        fc.constantFrom(...SIZES.models.keys()),
        fc.option(fc.constantFrom("a1", "a2", "a3")),
      )),
      (loads) => {
        const resident = {
          models: new Set<string>(),
          adapters: new Set<string>(),
        };
        for (const [model, adapter] of loads) {
          if (adapter !== null && resident.models.has(model)) {
            if (fitsAdapter(model, resident, SIZES)) {
              resident.adapters.add(`${model}/${adapter}`);
            }
            continue;
          }
          if (resident.models.has(model)) continue;
          if (fitsModel(model, resident, SIZES)) resident.models.add(model);
        }
        let sum = resident.adapters.size;
        for (const model of resident.models) {
          sum += SIZES.models.get(model)!.weightsMb;
        }
        return sum <= SIZES.weightsMb &&
          resident.adapters.size <= SIZES.adapterSlots;
      },
    ),
    { seed: 20261204 },
  );
  t.pass();
});
