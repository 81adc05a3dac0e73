import test from "ava";
import { type PendingAttempt, waitForOutcome } from "./pending_attempt.ts";

/** An attempt whose response is read when the process polls its sockets next. */
function createUnreadAttempt(): PendingAttempt {
  const attempt = {} as { settled: Promise<unknown> };
  attempt.settled = new Promise((resolve) =>
    setImmediate(() => resolve(attempt))
  );
  return attempt as unknown as PendingAttempt;
}

// A response that had arrived was given up, as the timer ran before it was read.
test("a response that arrived while the process stood still isn't overdue", async (t) => {
  const attempt = createUnreadAttempt();
  const settled = await waitForOutcome([attempt], {
    withinMs: 250,
    sleep: () => Promise.resolve(),
  });
  t.is(settled, attempt);
});

test("a response that hasn't arrived is overdue after the time", async (t) => {
  const attempt = { settled: new Promise<PendingAttempt>(() => {}) };
  const sleeps: number[] = [];
  const settled = await waitForOutcome([attempt], {
    withinMs: 250,
    sleep: (ms) => {
      sleeps.push(ms);
      return Promise.resolve();
    },
  });
  t.is(settled, undefined);
  t.deepEqual(sleeps, [250]);
});
