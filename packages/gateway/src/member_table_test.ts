import { setImmediate } from "node:timers/promises";
import { err, ok } from "@banyanspool/types";
import test from "ava";
import { ChangeSignal } from "./change_signal.ts";
import { maintainMembership, type MembershipOptions } from "./member_table.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };
/** Rounds of the event loop in which calls are answered and processed. */
const ROUNDS = 50;

/** A store whose calls take a round of the event loop each. */
function createStore(
  rows: Pick<Map<string, string>, "set" | typeof Symbol.iterator> = new Map(),
): MembershipOptions["store"] {
  const position = { epoch: 1, version: 1 };
  return {
    readTable: async () => {
      const read = [...rows].map(([key, text]) => ({
        key,
        text,
        version: 1,
        removed: false,
      }));
      await setImmediate();
      return ok({ rows: read, position });
    },
    commit: async ({ put }) => {
      await setImmediate();
      for (const { key, text } of put) rows.set(key, text);
      return ok({ kind: "committed", version: 1 });
    },
  };
}

function createOptions(
  instance: string,
  options: Pick<MembershipOptions, "store" | "onMember">,
): MembershipOptions {
  return {
    ...options,
    instance,
    host: `10.0.0.${instance.charCodeAt(0)}`,
    isStopping: () => false,
    restoredSignal: ChangeSignal.create(),
    strangerSignal: ChangeSignal.create(),
    log: SILENT_LOG,
  };
}

// Each of two gateways had read the table before the other's row was there, and
// they exceeded a rate limit together until they read it again.
test("of gateways that start together, one knows the other as soon as both have a row", async (t) => {
  const store = createStore();
  const controller = new AbortController();
  const found: string[] = [];
  const tasks = ["a", "b"].map((instance) => {
    const onMember = (other: string) =>
      found.push(`${instance} knows ${other}`);
    const options = createOptions(instance, { store, onMember });
    return maintainMembership(options, controller.signal);
  });
  for (let i = 0; i < ROUNDS; i += 1) await setImmediate();
  controller.abort();
  await Promise.all(tasks);
  t.true(found.length > 0);
});

// A gateway whose row another process overwrites would write without a pause.
test("a row that isn't there after it was written is written again only after a pause", async (t) => {
  let writes = 0;
  const rows = new Map([["a", JSON.stringify({ host: "another" })]]);
  const overwritten = {
    set: () => {
      writes += 1;
      return rows;
    },
    [Symbol.iterator]: () => rows[Symbol.iterator](),
  };
  const controller = new AbortController();
  const options = createOptions("a", {
    store: createStore(overwritten),
    onMember: () => {},
  });
  const task = maintainMembership(options, controller.signal);
  for (let i = 0; i < ROUNDS; i += 1) await setImmediate();
  controller.abort();
  await task;
  t.is(writes, 1);
});

test("a stranger's datagram causes an early read, and a crowd of them few", async (t) => {
  const store = createStore();
  let reads = 0;
  const strangerSignal = ChangeSignal.create();
  const controller = new AbortController();
  const task = maintainMembership({
    ...createOptions("a", {
      store: {
        ...store,
        readTable: (table) => {
          reads += 1;
          return store.readTable(table);
        },
      },
      onMember: () => {},
    }),
    strangerSignal,
  }, controller.signal);
  const timer = setInterval(() => strangerSignal.notify(), 1);
  await new Promise((resolve) => setTimeout(resolve, 1500));
  clearInterval(timer);
  controller.abort();
  await task;
  // Two reads for the own row, and gaps of 100, 200, 400 and 800 ms.
  t.true(reads > 2 && reads <= 6, `${reads} reads`);
});

// Each stranger's datagram had shortened the pause after a failed read.
test("strangers cause no reads of a store that fails before its next retry", async (t) => {
  let reads = 0;
  const strangerSignal = ChangeSignal.create();
  const controller = new AbortController();
  const task = maintainMembership({
    ...createOptions("a", {
      store: {
        ...createStore(),
        readTable: () => {
          reads += 1;
          return Promise.resolve(err({ kind: "unavailable", detail: "" }));
        },
      },
      onMember: () => {},
    }),
    strangerSignal,
  }, controller.signal);
  const timer = setInterval(() => strangerSignal.notify(), 1);
  await new Promise((resolve) => setTimeout(resolve, 900));
  clearInterval(timer);
  controller.abort();
  await task;
  t.true(reads <= 2, `${reads} reads`);
});

// Its next report came only after an interval between reports.
test("a stranger's datagram that arrives during a read causes another read", async (t) => {
  const store = createStore();
  let reads = 0;
  const strangerSignal = ChangeSignal.create();
  const controller = new AbortController();
  const task = maintainMembership({
    ...createOptions("a", {
      store: {
        ...store,
        readTable: async (table) => {
          reads += 1;
          const read = await store.readTable(table);
          if (reads === 2) strangerSignal.notify();
          return read;
        },
      },
      onMember: () => {},
    }),
    strangerSignal,
  }, controller.signal);
  await new Promise((resolve) => setTimeout(resolve, 1000));
  controller.abort();
  await task;
  t.is(reads, 3);
});

test("a row whose host can't be read is passed on without a host, and is no peer", async (t) => {
  const rows = new Map([
    ["a", JSON.stringify({ host: "10.0.0.97" })],
    ["b", JSON.stringify({ host: "elsewhere" })],
    ["c", "{"],
  ]);
  const controller = new AbortController();
  const reads: unknown[] = [];
  const task = maintainMembership({
    ...createOptions("a", {
      store: createStore(rows),
      onMember: (instance) => t.fail(instance),
    }),
    onRead: (hosts) => reads.push(hosts),
  }, controller.signal);
  for (let i = 0; i < ROUNDS; i += 1) await setImmediate();
  controller.abort();
  await task;
  t.deepEqual(reads, [
    new Map([["a", "10.0.0.97"], ["b", undefined], ["c", undefined]]),
  ]);
});
