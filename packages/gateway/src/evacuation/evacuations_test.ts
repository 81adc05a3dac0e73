import test from "ava";
import {
  type EvacuationFact,
  type EvacuationRow,
  Evacuations,
} from "./evacuations.ts";

function create() {
  const changes: string[] = [];
  const evacuations = Evacuations.create({
    onChange: (dataCentre, isEvacuated) =>
      changes.push(`${dataCentre} ${isEvacuated}`),
  });
  return { evacuations, changes };
}

const set = (version: number, dataCentre = "north"): EvacuationRow => ({
  dataCentre,
  version,
  removed: false,
});
const removed = (version: number): EvacuationRow => ({
  dataCentre: "north",
  version,
  removed: true,
});

test("a data centre is evacuated until its row is removed", (t) => {
  const { evacuations, changes } = create();
  evacuations.applyRows([set(5)], 1);
  t.true(evacuations.isEvacuated("north"));
  t.false(evacuations.applyRows([set(5)], 1), "nothing new");
  evacuations.applyRows([removed(9)], 1);
  t.false(evacuations.isEvacuated("north"));
  t.deepEqual(changes, ["north true", "north false"]);
});

test("two data centres are evacuated and taken back one by one", (t) => {
  const { evacuations } = create();
  evacuations.applyTable([set(5), set(6, "south")], { epoch: 1, version: 8 });
  t.deepEqual(evacuations.dataCentres, ["north", "south"]);
  evacuations.applyRows([removed(9)], 1);
  t.deepEqual(evacuations.dataCentres, ["south"]);
});

test("a removal that the history no longer tells is found by a read", (t) => {
  const { evacuations } = create();
  evacuations.applyRows([set(5)], 1);
  evacuations.applyTable([], { epoch: 1, version: 4 });
  t.true(evacuations.isEvacuated("north"), "an older read tells nothing");
  evacuations.applyTable([], { epoch: 1, version: 9 });
  t.false(evacuations.isEvacuated("north"));
});

test("an evacuation that a restored store has lost stays in force until its key is written again", (t) => {
  const { evacuations } = create();
  evacuations.applyRows([set(5)], 1);
  evacuations.applyTable([], { epoch: 2, version: 4 });
  t.true(evacuations.isEvacuated("north"));
  evacuations.applyRows([removed(5)], 2);
  t.false(evacuations.isEvacuated("north"));
});

test("a restored store doesn't bring back an evacuation that was removed, but a new row counts", (t) => {
  const { evacuations } = create();
  evacuations.applyRows([set(5)], 1);
  evacuations.applyRows([removed(9)], 1);
  evacuations.applyTable([set(5)], { epoch: 2, version: 6 });
  t.false(evacuations.isEvacuated("north"));
  evacuations.applyRows([set(8)], 2);
  t.true(evacuations.isEvacuated("north"));
});

// It would have begun with what a peer that lags behind reported.
test("a gateway that has just read the table isn't told older evacuations", (t) => {
  const behind = create().evacuations;
  behind.applyRows([set(5)], 1);
  const { evacuations } = create();
  evacuations.applyTable([], { epoch: 1, version: 9 });
  t.false(evacuations.applyReport(behind.report()));
  t.false(evacuations.isEvacuated("north"));
});

test("a gateway that read a restored store is told an evacuation of the old epoch that the copy lacks", (t) => {
  const before = create().evacuations;
  before.applyRows([set(5)], 1);
  before.applyTable([], { epoch: 2, version: 4 });
  const { evacuations } = create();
  evacuations.applyTable([], { epoch: 2, version: 4 });
  t.true(evacuations.applyReport(before.report()));
  t.true(evacuations.isEvacuated("north"));
  evacuations.applyRows([set(6)], 2);
  evacuations.applyRows([removed(7)], 2);
  t.false(evacuations.isEvacuated("north"));
  t.false(evacuations.applyReport(before.report()), "it is older");
});

test("an evacuation that is taken back while a gateway is cut off ends there with the first report, also over a restore", (t) => {
  const cutOff = create().evacuations;
  const { evacuations } = create();
  for (const each of [cutOff, evacuations]) each.applyRows([set(5)], 1);
  const reportBefore = cutOff.report();
  evacuations.applyRows([removed(9)], 1);
  evacuations.applyTable([set(5)], { epoch: 2, version: 6 });
  t.false(evacuations.applyReport(reportBefore));
  t.true(cutOff.applyReport(evacuations.report()));
  t.false(cutOff.isEvacuated("north"));
});

test("of two operators that evacuate two data centres, one takes one back while the other's is halfway to the gateways", (t) => {
  const first = create().evacuations;
  const second = create().evacuations;
  first.applyRows([set(5), set(6, "south")], 1);
  second.applyRows([set(5)], 1);
  second.applyRows([removed(7)], 1);
  const reports = [first.report(), second.report()];
  first.applyReport(reports[1]!);
  second.applyReport(reports[0]!);
  for (const each of [first, second]) t.deepEqual(each.dataCentres, ["south"]);
});

test("removed rows are forgotten, evacuations aren't", (t) => {
  const { evacuations } = create();
  evacuations.applyRows([set(1)], 1);
  for (let i = 2; i < 500; i += 1) {
    evacuations.applyRows([{ ...removed(i), dataCentre: `dc-${i}` }], 1);
  }
  t.true(reportedNames(evacuations).size <= 65);
  t.true(evacuations.isEvacuated("north"));
});

// The datagram would have been too long to be sent, and gateways without any
// reports take each other for dead.
test("thousands of evacuations are reported in turn, and a new one at once", (t) => {
  const { evacuations } = create();
  const long = "x".repeat(5000);
  evacuations.applyRows([set(1, long)], 1);
  for (let i = 2; i < 3000; i += 1) {
    evacuations.applyRows([set(i, `dc-${i}`.padEnd(200, "x"))], 1);
  }
  t.is(reportedNames(evacuations).size, 2998);
  evacuations.applyRows([set(5000)], 1);
  const report = evacuations.report();
  t.true(report.length <= 16);
  t.true(report.some(({ dataCentre }) => dataCentre === "north"));
  t.true(evacuations.isEvacuated(long));
});

/** Names in a thousand reports. */
function reportedNames(evacuations: Evacuations): Set<string> {
  const names = Array.from(
    { length: 1000 },
    () => evacuations.report().map(({ dataCentre }) => dataCentre),
  );
  return new Set(names.flat());
}

/** Whether all orders in which reports arrive end in the same state. */
function agrees(facts: readonly EvacuationFact[]): boolean {
  const results = permute(facts).map((order) => {
    const { evacuations } = create();
    for (const fact of order) evacuations.applyReport([fact]);
    return evacuations.isEvacuated("north");
  });
  return new Set(results).size === 1;
}

function permute<T>(items: readonly T[]): T[][] {
  if (items.length < 2) return [[...items]];
  return items.flatMap((item, i) =>
    permute(items.filter((_, j) => j !== i)).map((rest) => [item, ...rest])
  );
}

// Gateways of two sides of a cut would have disagreed for good.
test("gateways agree in whatever order they learn of writes and restores", (t) => {
  const fact = (
    epoch: number,
    version: number,
    isRemoved: boolean,
    setVersion = version,
  ): EvacuationFact => ({
    dataCentre: "north",
    position: { epoch, version },
    removed: isRemoved,
    setVersion,
  });
  t.true(agrees([fact(1, 5, false), fact(1, 9, true, 5), fact(1, 12, false)]));
  t.true(agrees([fact(1, 9, true, 5), fact(2, 5, false)]));
  t.true(agrees([fact(1, 9, true, 5), fact(2, 5, false), fact(2, 8, false)]));
});
