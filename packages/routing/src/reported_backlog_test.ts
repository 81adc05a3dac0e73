import test from "ava";
import { ReportedBacklogs } from "./reported_backlog.ts";

function createBacklogs() {
  let now = 0;
  const clock = { now: () => now, wall: () => now };
  const backlogs = ReportedBacklogs.create({ clock });
  return { backlogs, advance: (ms: number) => now += ms };
}

test("requests that may be in a stated load or not aren't counted twice", (t) => {
  const { backlogs } = createBacklogs();
  const counted = { own: 5, ended: 0, uncertain: 2, others: 3 };
  for (const stated of [6, 7, 8]) {
    backlogs.record("r", { ...counted, stated });
    t.is(backlogs.othersAt("r", 3), 3, `${stated} proves nothing`);
  }
  backlogs.record("r", { ...counted, stated: 12 });
  t.is(backlogs.othersAt("r", 3), 7);
  backlogs.record("r", { ...counted, stated: 4 });
  t.is(backlogs.othersAt("r", 3), 1);
});

test("a stated load gives way to what the other gateways tell later", (t) => {
  const { backlogs, advance } = createBacklogs();
  backlogs.record("r", {
    stated: 10,
    own: 0,
    ended: 0,
    uncertain: 0,
    others: 0,
  });
  advance(250);
  t.is(backlogs.othersAt("r", 8), 9);
  advance(250);
  t.is(backlogs.othersAt("r", 8), 8);
});
