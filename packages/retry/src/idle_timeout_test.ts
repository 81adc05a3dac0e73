import test from "ava";
import { startIdleTimeout } from "./idle_timeout.ts";

function createWatch() {
  const state = { now: 0, silent: 0, wake: () => {} };
  const watch = startIdleTimeout({
    timeoutMs: 100,
    now: () => state.now,
    sleep: (ms) =>
      new Promise((resolve) => {
        const dueAt = state.now + ms;
        state.wake = () => {
          state.now = Math.max(state.now, dueAt);
          resolve();
        };
      }),
    onTimeout: () => state.silent += 1,
  });
  const pass = async () => {
    state.wake();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { state, watch, pass };
}

test("a peer that is heard in time is not silent", async (t) => {
  const { state, watch, pass } = createWatch();
  state.now = 60;
  watch.recordActivity();
  await pass();
  t.is(state.silent, 0);
  await pass();
  t.is(state.silent, 1);
});

test("nothing is expected while the watch is paused", async (t) => {
  const { state, watch, pass } = createWatch();
  watch.setPaused(true);
  await pass();
  await pass();
  t.is(state.silent, 0);
  state.now += 50;
  watch.setPaused(false);
  await pass();
  t.is(state.silent, 0, "the time begins when the pause ends");
  await pass();
  t.is(state.silent, 1);
});
