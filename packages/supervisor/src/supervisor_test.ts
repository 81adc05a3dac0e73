import test from "ava";
import { Supervisor } from "./mod.ts";

function createSupervisor() {
  const waits: number[] = [];
  const sleep = (ms: number, signal?: AbortSignal) => {
    waits.push(ms);
    if (signal?.aborted) return Promise.reject(signal.reason);
    return new Promise<void>((resolve) => setImmediate(resolve));
  };
  return { waits, supervisor: Supervisor.create({ name: "test", sleep }) };
}

test("a failing task starts again, after longer and longer waits", async (t) => {
  const { waits, supervisor } = createSupervisor();
  let runs = 0;
  await new Promise<void>((resolve) => {
    supervisor.start({
      name: "fails",
      restart: "onError",
      run: () => {
        runs += 1;
        if (runs < 4) return Promise.reject(new Error("fault"));
        resolve();
        return Promise.resolve();
      },
    });
  });
  t.is(runs, 4);
  t.deepEqual(waits, [50, 100, 200]);
});

test("tasks stop in reverse order, one after the other", async (t) => {
  const { supervisor } = createSupervisor();
  const stopped: string[] = [];
  for (const name of ["first", "second"]) {
    supervisor.start({
      name,
      restart: "never",
      run: (signal) =>
        new Promise((resolve) => {
          signal.addEventListener("abort", () => {
            stopped.push(name);
            resolve();
          });
        }),
    });
  }
  await supervisor.stop();
  t.deepEqual(stopped, ["second", "first"]);
});
