import test from "ava";
import { MemoryPlatform } from "@banyanspool/platform";
import { DecisionLog } from "./decision_log.ts";
import { readDecisions, verifyChains } from "./decision_reader.ts";

function createLog(maxPending = 100) {
  const platform = MemoryPlatform.create();
  const counts = { written: 0, dropped: 0 };
  let now = 0;
  const log = DecisionLog.create({
    objects: platform.objects,
    clock: { now: () => now, wall: () => now++ },
    sleep: () => Promise.resolve(),
    instance: "entry-1",
    incarnation: 7,
    flushIntervalMs: 1000,
    maxPending,
    count: (outcome, records) => counts[outcome] += records,
  });
  return { log, platform, counts };
}

function record(log: DecisionLog, request: string, organisation = "acme") {
  log.record({
    kind: "refused",
    request,
    organisation,
    subject: "chat",
    reason: "rate_exceeded",
    configVersion: 3,
    detail: "level 4 of 100 tokens",
  });
}

test("a refused request is found by its id and organisation", async (t) => {
  const { log, platform } = createLog();
  record(log, "a");
  record(log, "b", "rival");
  await log.flush();
  const byRequest = await readDecisions(platform.objects, { request: "a" });
  t.is(byRequest.ok && byRequest.value.decisions.length, 1);
  const filter = { organisation: "rival" };
  const byOwner = await readDecisions(platform.objects, filter);
  t.is(byOwner.ok && byOwner.value.decisions[0]?.request, "b");
});

test("a changed or removed batch breaks the chain", async (t) => {
  const { log, platform } = createLog();
  for (const request of ["a", "b", "c"]) {
    record(log, request);
    await log.flush();
  }
  const whole = await verifyChains(platform.objects);
  t.deepEqual(whole.ok && whole.value.faults, []);
  const name = "decisions/entry-1/7/00000002.json";
  const body = await platform.objects.get(name);
  const forged = (body.ok ? body.value ?? "" : "").replace('"b"', '"x"');
  await platform.objects.put(name, forged);
  const broken = await verifyChains(platform.objects);
  t.is(broken.ok && broken.value.faults.length, 1);
});

test("an outage loses nothing that fits, and says what did not", async (t) => {
  const { log, platform, counts } = createLog(10);
  platform.fault = "down";
  for (let index = 0; index < 15; index += 1) {
    record(log, `request-${index}`);
  }
  await log.flush();
  platform.fault = "none";
  await log.flush();
  const report = await verifyChains(platform.objects);
  t.is(report.ok && report.value.records, 10);
  t.is(report.ok && report.value.dropped, 5);
  t.is(counts.dropped, 5);
});

test("a batch whose answer was lost is written once", async (t) => {
  const { log, platform } = createLog();
  record(log, "a");
  platform.fault = "loseAnswers";
  t.false(await log.flush());
  record(log, "b");
  platform.fault = "none";
  await log.flush();
  const report = await verifyChains(platform.objects);
  t.is(report.ok && report.value.records, 2);
  t.deepEqual(report.ok && report.value.faults, []);
});
