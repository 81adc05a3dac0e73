import test from "ava";
import { SharedReadSchedule } from "./shared_read_schedule.ts";

/** Simulates gateways that report their reads to each other; returns all reads. */
function simulate(
  {
    gateways,
    reportIntervalMs,
    forMs,
    receivesReports = true,
  }: {
    gateways: number;
    reportIntervalMs: number;
    forMs: number;
    receivesReports?: boolean;
  },
): { at: number; gateway: number }[] {
  let now = 0;
  let state = 20_261_204;
  const random = () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
  const clock = { now: () => now, wall: () => now };
  const all = Array.from(
    { length: gateways },
    () =>
      SharedReadSchedule.create({ clock, random, liveCount: () => gateways }),
  );
  const reads: { at: number; gateway: number }[] = [];
  // All gateways start synchronised, as after a common start or an outage.
  for (; now < forMs; now += 10) {
    for (const [gateway, own] of all.entries()) {
      if (own.dueInMs > 0) continue;
      own.recordOwnRead(now);
      reads.push({ at: now, gateway });
    }
    if (!receivesReports) continue;
    for (const [i, sender] of all.entries()) {
      if ((now + i * 30) % reportIntervalMs !== 0) continue;
      for (const receiver of all) {
        if (receiver !== sender) receiver.recordPeerRead(sender.ownAgeMs!);
      }
    }
  }
  return reads;
}

function longestGap(reads: readonly { at: number }[]): number {
  return Math.max(
    ...reads.slice(1).map(({ at }, i) => at - reads[i]!.at),
  );
}

test("with synchronised gateways the list is read at least once a second, with few extra reads", (t) => {
  for (const [gateways, reportIntervalMs] of [[5, 150], [31, 410]] as const) {
    const forMs = 60_000;
    const reads = simulate({ gateways, reportIntervalMs, forMs });
    t.true(longestGap(reads) <= 1000, `${longestGap(reads)} ms`);
    // At most twice the reads of a single gateway, plus the read that each one
    // makes every five seconds in any case.
    const singleGatewayReads = forMs / 450;
    const ownReads = gateways * forMs / 5000;
    t.true(
      reads.length <= 2 * singleGatewayReads + ownReads,
      `${reads.length} reads`,
    );
  }
});

test("a gateway reads the list every five seconds, whatever others report", (t) => {
  const reads = simulate({
    gateways: 31,
    reportIntervalMs: 410,
    forMs: 60_000,
  });
  const own = reads.filter(({ gateway }) => gateway === 7);
  t.true(longestGap(own) <= 5010);
});

test("a gateway without reports from others reads the list at least once a second", (t) => {
  const reads = simulate({
    gateways: 1,
    reportIntervalMs: 150,
    forMs: 20_000,
    receivesReports: false,
  });
  t.true(longestGap(reads) <= 910);
});

test("a gateway whose list equals that of one that has read it needs no own read", (t) => {
  let now = 0;
  const schedule = SharedReadSchedule.create({
    clock: { now: () => now, wall: () => now },
    random: () => 0,
    liveCount: () => 10,
  });
  schedule.recordOwnRead(0);
  for (; now <= 20_000; now += 400) {
    schedule.recordPeerRead(100);
    schedule.recordEqualRead(100);
    t.true(schedule.dueInMs > 0, `at ${now} ms`);
  }
  for (let ms = 0; ms <= 5000; ms += 400) {
    now += 400;
    schedule.recordPeerRead(100);
  }
  t.is(schedule.dueInMs, 0, "the lists have differed for five seconds");
});

// A gateway that had lost the datagrams with a change sent requests to a draining
// replica for up to five seconds.
test("a gateway whose list differs from that of one that has read it later reads it itself", (t) => {
  let now = 0;
  const schedule = SharedReadSchedule.create({
    clock: { now: () => now, wall: () => now },
    random: () => 0.9,
    liveCount: () => 18,
  });
  const report = (record: "recordDifferentRead" | "recordEqualRead") => {
    now += 100;
    schedule.recordPeerRead(50);
    schedule[record](50);
  };
  schedule.recordOwnRead(0);
  for (let i = 0; i < 6; i += 1) report("recordDifferentRead");
  t.true(schedule.dueInMs > 0, "the change may still arrive");
  report("recordEqualRead");
  for (let i = 0; i < 6; i += 1) report("recordDifferentRead");
  t.true(schedule.dueInMs > 0, "another change");
  for (let i = 0; i < 2; i += 1) report("recordDifferentRead");
  t.is(schedule.dueInMs, 0);
  schedule.recordOwnRead(now);
  schedule.recordDifferentRead(500);
  t.true(schedule.dueInMs > 700, "the other one read it earlier");
});
