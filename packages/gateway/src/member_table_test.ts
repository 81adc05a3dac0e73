import { setImmediate } from "node:timers/promises";
import { ok } from "@banyanspool/types";
import test from "ava";
import { ChangeSignal } from "./change_signal.ts";
import { maintainMembership, type MembershipOptions } from "./member_table.ts";

const SILENT_LOG = { write: () => {}, dropped: () => 0, flush: () => {} };
/** Rounds of the event loop in which calls are answered and processed. */
const ROUNDS = 50;

/** A store whose calls take a round of the event loop each. */
function createStore(): MembershipOptions["store"] {
  const rows = new Map<string, string>();
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

// Each of two gateways had read the table before the other's row was there, and
// they exceeded a rate limit together until they read it again.
test("of gateways that start together, one knows the other as soon as both have a row", async (t) => {
  const store = createStore();
  const controller = new AbortController();
  const found: string[] = [];
  const tasks = ["a", "b"].map((instance) =>
    maintainMembership({
      store,
      instance,
      host: `host-${instance}`,
      isStopping: () => false,
      restoredSignal: ChangeSignal.create(),
      log: SILENT_LOG,
      onMember: (other) => found.push(`${instance} knows ${other}`),
    }, controller.signal)
  );
  for (let i = 0; i < ROUNDS; i += 1) await setImmediate();
  controller.abort();
  await Promise.all(tasks);
  t.true(found.length > 0);
});
