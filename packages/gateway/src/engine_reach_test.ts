import test from "ava";
import { EngineReach } from "./engine_reach.ts";

const ENGINES = ["r1", "r2", "r3", "r4", "r5"];

function createReach() {
  let now = 0;
  const reach = EngineReach.create({
    clock: { now: () => now, wall: () => now },
  });
  return { reach, pause: (ms: number) => now += ms };
}

test("a holder that most engines don't answer is cut off, also if some answered before", (t) => {
  const { reach, pause } = createReach();
  for (const engine of ENGINES) reach.record(engine, true);
  pause(2000);
  for (const engine of ENGINES) reach.record(engine, false);
  t.false(reach.isCutOff, "a lost answer in a while is no cut");
  pause(1500);
  for (const engine of ENGINES.slice(1)) reach.record(engine, false);
  t.true(reach.isCutOff);
  pause(4000);
  t.false(reach.isCutOff, "nothing is known without calls");
});

test("engines that fail while half of them answer are no cut, nor are few calls", (t) => {
  const { reach } = createReach();
  for (const engine of ENGINES.slice(0, 3)) reach.record(engine, false);
  t.false(reach.isCutOff);
  for (const engine of ENGINES.slice(3)) reach.record(engine, true);
  t.false(reach.isCutOff);
});

test("a new term begins without the calls of the one before", (t) => {
  const { reach } = createReach();
  for (const engine of ENGINES) reach.record(engine, false);
  t.true(reach.isCutOff);
  reach.clear();
  t.false(reach.isCutOff);
});
