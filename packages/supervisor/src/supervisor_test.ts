import test from "ava";
import { Supervisor } from "./mod.ts";

function createSupervisor() {
  const delays: number[] = [];
  const sleep = (ms: number, signal?: AbortSignal) => {
    delays.push(ms);
    if (signal?.aborted) return Promise.reject(signal.reason);
    return new Promise<void>((resolve) => setImmediate(resolve));
  };
  return { delays, supervisor: Supervisor.create({ name: "test", sleep }) };
}

test("a failing task is restarted with exponential back-off", async (t) => {
  const { delays, supervisor } = createSupervisor();
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
  t.deepEqual(delays, [50, 100, 200]);
});

test("a task that ran for long is restarted with the shortest delay again", async (t) => {
  let now = 0;
  const delays: number[] = [];
  const supervisor = Supervisor.create({
    name: "test",
    sleep: (ms) => {
      delays.push(ms);
      return new Promise((resolve) => setImmediate(resolve));
    },
    now: () => now,
  });
  const runTimesMs = [0, 0, 60_000, 0];
  await new Promise<void>((resolve) => {
    supervisor.start({
      name: "fails",
      restart: "always",
      run: (signal) => {
        const runMs = runTimesMs.shift();
        if (runMs === undefined) {
          resolve();
          return new Promise((end) =>
            signal.addEventListener("abort", () => end())
          );
        }
        now += runMs;
        return Promise.reject(new Error("fault"));
      },
    });
  });
  t.deepEqual(delays, [50, 100, 50, 100]);
  await supervisor.stop();
});

test("tasks are stopped one by one in reverse order", async (t) => {
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
