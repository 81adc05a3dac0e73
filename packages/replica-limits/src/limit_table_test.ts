import test from "ava";
import fc from "fast-check";
import { LimitTable } from "./limit_table.ts";

const SEED = 20261204;

function createTable(clock: { at: number }) {
  const changes: (number | undefined)[] = [];
  const table = LimitTable.create({
    clock: { now: () => clock.at, wall: () => clock.at },
    onChange: (_replica, ratePerS) => changes.push(ratePerS),
  });
  return { table, changes };
}

test("the newest observation of a limit counts, whichever gateway made it", (t) => {
  const time = { at: 1000 };
  const { table, changes } = createTable(time);
  table.record({ replica: "r", ratePerS: 2, sentAt: 990 });
  table.applyReport([{ replica: "r", ratePerS: 5, ageMs: 200 }]);
  t.is(table.get("r"), 2);
  time.at = 2000;
  table.applyReport([{ replica: "r", ageMs: 100 }]);
  t.is(table.get("r"), undefined);
  t.deepEqual(table.report(), [], "the other gateway reports it");
  t.deepEqual(changes, [2]);
});

// Responses on different connections overtake each other.
test("a response to an earlier request neither lifts nor raises a limit", (t) => {
  const time = { at: 1000 };
  const { table } = createTable(time);
  table.record({ replica: "r", ratePerS: 2, sentAt: 990 });
  time.at = 1100;
  table.record({ replica: "r", ratePerS: undefined, sentAt: 999 });
  table.record({ replica: "r", ratePerS: 3, sentAt: 999 });
  t.is(table.get("r"), 2);
  table.record({ replica: "r", ratePerS: 1, sentAt: 999 });
  t.is(table.get("r"), 1);
  table.record({ replica: "r", ratePerS: undefined, sentAt: 1100 });
  t.is(table.get("r"), 1, "the observation may be from the same moment");
  time.at = 1200;
  table.record({ replica: "r", ratePerS: undefined, sentAt: 1150 });
  t.is(table.get("r"), undefined);
  t.false(table.hasLimits);
});

test("the end of a limit is reported for a while, and a limit as long as it holds", (t) => {
  const time = { at: 0 };
  const { table } = createTable(time);
  table.record({ replica: "r", ratePerS: 2, sentAt: -1 });
  time.at = 60_000;
  t.deepEqual(table.report(), [
    { replica: "r", ratePerS: 2, ageMs: 60_000 },
  ]);
  table.record({ replica: "r", ratePerS: undefined, sentAt: 59_000 });
  t.is(table.report().length, 1);
  time.at = 71_000;
  t.is(table.report().length, 0);
  table.retain(new Set());
  t.is(table.get("r"), undefined);
});

test("gateways that exchange reports agree on a limit, in whatever order these arrive", (t) => {
  const step = fc.record({
    gateway: fc.integer({ min: 0, max: 2 }),
    ratePerS: fc.option(fc.integer({ min: 1, max: 3 }), { nil: undefined }),
    peer: fc.integer({ min: 0, max: 2 }),
    isReport: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
      const time = { at: 0 };
      const tables = [0, 1, 2].map(() => createTable(time).table);
      for (const { gateway, ratePerS, peer, isReport } of steps) {
        time.at += 10;
        if (isReport) tables[peer]!.applyReport(tables[gateway]!.report());
        else {
          const sentAt = time.at - 5;
          tables[gateway]!.record({ replica: "r", ratePerS, sentAt });
        }
      }
      for (const from of tables) {
        for (const to of tables) to.applyReport(from.report());
      }
      const [first, ...others] = tables.map((table) => table.get("r"));
      return others.every((ratePerS) => ratePerS === first);
    }),
    { seed: SEED },
  );
  t.pass();
});
