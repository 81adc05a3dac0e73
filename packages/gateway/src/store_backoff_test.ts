import test from "ava";
import { StoreBackoff } from "./store_backoff.ts";

test("delays grow to a bound and start again after a success", (t) => {
  const backoff = StoreBackoff.create({ random: () => 0 });
  const delays = Array.from({ length: 4 }, () => backoff.nextDelayMs());
  t.deepEqual(delays, [300, 600, 1200, 1200]);
  backoff.reset();
  t.is(backoff.nextDelayMs(), 300);
});

test("half of each delay is random", (t) => {
  const backoff = StoreBackoff.create({ random: () => 0.999 });
  t.true(backoff.nextDelayMs() < 151);
});
