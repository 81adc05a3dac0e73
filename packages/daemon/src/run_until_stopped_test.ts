import { setImmediate as nextTurn } from "node:timers/promises";
import type { BaseContext } from "clipanion";
import test from "ava";
import { runUntilStopped } from "./run_until_stopped.ts";

const CONTEXT = {
  stdout: { write: () => true },
  stderr: { write: () => true },
} as unknown as BaseContext;

test.beforeEach(() => {
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.removeAllListeners(signal);
  }
});

// A second SIGTERM ended the process at once and cut off what it was serving.
test.serial("a signal during a graceful stop doesn't end the process", async (t) => {
  let finishStop = () => {};
  const stopped = new Promise<void>((resolve) => finishStop = resolve);
  let stops = 0;
  const exit = runUntilStopped({
    read: () => ({ instance: "gateway-1" }),
    build: () =>
      Promise.resolve({
        start: () => Promise.resolve(),
        stop: () => {
          stops += 1;
          return stopped;
        },
      }),
    context: CONTEXT,
  });
  await nextTurn();
  t.true(process.emit("SIGTERM"));
  await nextTurn();
  for (const signal of ["SIGTERM", "SIGHUP"] as const) {
    t.true(process.emit(signal), `${signal} has a listener`);
  }
  finishStop();
  t.is(await exit, 0);
  t.is(stops, 1);
});

// SIGHUP ended a process that had not yet created its daemon.
test.serial("a reload that is requested during the start doesn't end the process", async (t) => {
  const reloads: string[] = [];
  let finishBuild = () => {};
  const built = new Promise<void>((resolve) => finishBuild = resolve);
  const exit = runUntilStopped({
    read: () => ({ instance: "gateway-1" }),
    build: async () => {
      await built;
      return {
        start: () => Promise.resolve(),
        stop: () => Promise.resolve(),
        reload: () => void reloads.push("reload"),
      };
    },
    context: CONTEXT,
  });
  t.true(process.emit("SIGHUP"));
  finishBuild();
  await nextTurn();
  process.emit("SIGHUP");
  process.emit("SIGTERM");
  t.is(await exit, 0);
  t.deepEqual(reloads, ["reload"]);
});
