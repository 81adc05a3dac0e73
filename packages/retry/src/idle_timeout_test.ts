import test from "ava";
import { startIdleTimeout } from "./idle_timeout.ts";

function createTimeout() {
  const state = { now: 0, firedCount: 0, wake: () => {} };
  const timeout = startIdleTimeout({
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
    onTimeout: () => state.firedCount += 1,
  });
  const finishSleep = async () => {
    state.wake();
    await new Promise((resolve) => setImmediate(resolve));
  };
  return { state, timeout, finishSleep };
}

test("activity restarts the idle timeout", async (t) => {
  const { state, timeout, finishSleep } = createTimeout();
  state.now = 60;
  timeout.recordActivity();
  await finishSleep();
  t.is(state.firedCount, 0);
  await finishSleep();
  t.is(state.firedCount, 1);
});

test("the idle timeout does not fire while it is paused", async (t) => {
  const { state, timeout, finishSleep } = createTimeout();
  timeout.setPaused(true);
  await finishSleep();
  await finishSleep();
  t.is(state.firedCount, 0);
  state.now += 50;
  timeout.setPaused(false);
  await finishSleep();
  t.is(state.firedCount, 0, "the full time starts when the pause ends");
  await finishSleep();
  t.is(state.firedCount, 1);
});
