import test from "ava";
import { EvacuationRecords } from "./evacuation_records.ts";
import type { EvacuationFact } from "./evacuations.ts";

const fact = (version: number, removed = false): EvacuationFact => ({
  dataCentre: "north",
  position: { epoch: 1, version },
  removed,
  setVersion: version,
});

function create() {
  let now = 0;
  const records = EvacuationRecords.create({
    clock: { now: () => now, wall: () => 0 },
  });
  return { records, pass: (ms: number) => now += ms };
}

test("an evacuation's time and refusals count from its begin, and again after it was taken back", (t) => {
  const { records, pass } = create();
  records.recordChange("north", true);
  pass(700);
  records.recordRefused(["north", "south"]);
  t.is(records.ageMs("north"), 700);
  t.is(records.refusedFor("north"), 1);
  t.is(records.refusedFor("south"), 0);
  records.recordChange("north", false);
  t.is(records.ageMs("north"), 0);
  records.recordChange("north", true);
  t.is(records.refusedFor("north"), 0);
});

test("a gateway knows of an evacuation once its present process reported this one", (t) => {
  const { records } = create();
  records.recordChange("north", true);
  records.recordReport("g-2", 1n, [fact(5)]);
  t.true(records.isReportedBy("g-2", fact(5)));
  t.false(records.isReportedBy("g-3", fact(5)));
  t.false(records.isReportedBy("g-2", fact(9)), "an earlier one");
  records.recordReport("g-2", 2n, []);
  t.false(records.isReportedBy("g-2", fact(5)), "it has restarted");
  records.recordReport("g-2", 2n, [fact(6, true)]);
  t.false(records.isReportedBy("g-2", fact(5)), "it takes it for ended");
  records.recordReport("g-2", 2n, [fact(7)]);
  records.retain(new Set(["g-3"]));
  t.false(records.isReportedBy("g-2", fact(5)), "it is gone");
});
