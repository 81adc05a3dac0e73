import test from "ava";
import { computeBackoffMs, RetryBudget } from "./budget.ts";

test("retries stay within the set ratio to requests", (t) => {
  const budget = RetryBudget.create({ ratio: 0.1, burst: () => 5 });
  let retries = 0;
  for (let request = 0; request < 1000; request += 1) {
    budget.recordRequest();
    if (budget.take()) retries += 1;
  }
  t.true(retries <= 105, `${retries} retries`);
  t.true(retries >= 95);
});

test("back-off stays below a bound that doubles up to a maximum", (t) => {
  const options = { baseMs: 10, maxMs: 50, random: () => 0.999 };
  t.true(computeBackoffMs(0, options) < 10);
  t.true(computeBackoffMs(2, options) > 39);
  t.true(computeBackoffMs(9, options) < 50);
});
