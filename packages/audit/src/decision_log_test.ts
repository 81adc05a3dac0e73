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

test("a refusal is found by request id and by organisation", async (t) => {
  const { log, platform } = createLog();
  record(log, "a");
  record(log, "b", "rival");
  await log.flush();
  const byRequest = await readDecisions(platform.objects, { request: "a" });
  t.is(byRequest.ok && byRequest.value.decisions.length, 1);
  const filter = { organisation: "rival" };
  const byOrganisation = await readDecisions(platform.objects, filter);
  t.is(byOrganisation.ok && byOrganisation.value.decisions[0]?.request, "b");
});

test("a changed batch breaks the chain", async (t) => {
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

test("during a store outage, records up to maxPending are kept and the rest are counted as dropped", async (t) => {
  const { log, platform, counts } = createLog(10);
  platform.fault = "down";
  for (let index = 0; index < 15; index += 1) {
    record(log, `request-${index}`);
  }
  await log.flush();
  platform.fault = "none";
  await log.flush();
  const verification = await verifyChains(platform.objects);
  t.is(verification.ok && verification.value.records, 10);
  t.is(verification.ok && verification.value.dropped, 5);
  t.is(counts.dropped, 5);
});

test("a batch whose write was not confirmed is stored once", async (t) => {
  const { log, platform } = createLog();
  record(log, "a");
  platform.fault = "loseAnswers";
  t.false(await log.flush());
  record(log, "b");
  platform.fault = "none";
  await log.flush();
  const verification = await verifyChains(platform.objects);
  t.is(verification.ok && verification.value.records, 2);
  t.deepEqual(verification.ok && verification.value.faults, []);
});
