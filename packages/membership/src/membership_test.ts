import test from "ava";
import type { ReplicaReport } from "@banyanspool/types";
import { Collector } from "./collector.ts";
import { decideFreshness, type FreshnessInput } from "./freshness.ts";
import { LiveInstanceList } from "./live_instance_list.ts";
import { createCollectorRanking } from "./rendezvous.ts";

const FRESH = { freshForMs: 4000 };

function decide(input: Partial<FreshnessInput>) {
  return decideFreshness({
    confirmedAgeMs: 60_000,
    knownDaemons: 5,
    reachedDaemons: 1,
    hasConfiguration: true,
    ...input,
  }, FRESH);
}

test("freshness follows from age, contacts and configuration", (t) => {
  t.is(decide({ hasConfiguration: false }), "empty");
  t.is(decide({ confirmedAgeMs: 3000 }), "fresh");
  t.is(decide({ reachedDaemons: 3 }), "storeDown");
  t.is(decide({ reachedDaemons: 2 }), "cutOff");
  t.is(
    decide({ knownDaemons: 4, reachedDaemons: 2 }),
    "cutOff",
    "half is not a majority",
  );
});

test("the loss of a collector reassigns only its data centres", async (t) => {
  const rank = await createCollectorRanking();
  const names = Array.from({ length: 20 }, (_, index) => `entry-${index}`);
  const centres = Array.from({ length: 50 }, (_, index) => `centre-${index}`);
  const lost = rank("centre-0", names)[0]!;
  const rest = names.filter((name) => name !== lost);
  for (const centre of centres) {
    const [before] = rank(centre, names);
    const [after] = rank(centre, rest);
    if (before !== lost) t.is(after, before);
  }
});

function createReport(replica: string, sequence = 1): ReplicaReport {
  return {
    replica,
    instance: `agent-${replica}`,
    agentIncarnation: 1,
    address: "127.0.0.1:1",
    dataCentre: "centre-a",
    sequence,
    readyModels: [],
    readyAdapters: [],
    services: [],
    queuedTokens: 0,
    running: 0,
    slots: 1,
    weightsMib: 0,
    memoryMib: 0,
    prefillTokensPerS: 0,
    decodeUsPerToken: 0,
    leaving: false,
  };
}

function createCollector() {
  const state = { now: 0 };
  const collector = Collector.create({
    clock: { now: () => state.now, wall: () => state.now },
    incarnation: 1,
    expireAfterMs: 4000,
    expireRemoteAfterMs: 6000,
    maxReportsPerAnswer: 2,
  });
  return { collector, state };
}

const DIRECT = { direct: true, source: "agent-a#1" };
const REMOTE = { direct: false, source: "entry-9#1" };

test("only changes are returned, up to a limit per response", (t) => {
  const { collector } = createCollector();
  for (const name of ["a", "b", "c"]) {
    collector.recordReport(createReport(name), DIRECT);
  }
  const first = collector.changesSince(0, false);
  t.deepEqual(first.reports.map(({ replica }) => replica), ["a", "b"]);
  const second = collector.changesSince(first.cursor, false);
  t.deepEqual(second.reports.map(({ replica }) => replica), ["c"]);
  t.is(collector.changesSince(second.cursor, false).reports.length, 0);
});

test("an older report that arrives late does not replace a newer one", (t) => {
  const { collector } = createCollector();
  collector.recordReport(createReport("a", 5), DIRECT);
  collector.recordReport(createReport("a", 4), DIRECT);
  t.is(collector.reports()[0]!.sequence, 5);
});

test("an agent's reports expire without contact and return at the next contact", (t) => {
  const { collector, state } = createCollector();
  collector.recordReport(createReport("a"), DIRECT);
  state.now = 5000;
  const { gone, cursor } = collector.changesSince(0, false);
  t.deepEqual(gone, ["a"]);
  collector.touchSource(DIRECT.source);
  const back = collector.changesSince(cursor, false);
  t.deepEqual(back.reports.map(({ replica }) => replica), ["a"]);
});

test("reports from another collector expire without contact with it", (t) => {
  const { collector, state } = createCollector();
  collector.recordReport(createReport("a"), REMOTE);
  state.now = 5000;
  collector.touchSource(REMOTE.source);
  t.is(collector.reports().length, 1);
  state.now = 12_000;
  t.is(collector.reports().length, 0);
});

test("a new collector that sends the same report becomes its source", (t) => {
  const { collector, state } = createCollector();
  collector.recordReport(createReport("a"), REMOTE);
  const next = { direct: false, source: "entry-8#1" };
  collector.recordReport(createReport("a"), next);
  state.now = 5000;
  collector.touchSource(next.source);
  state.now = 10_000;
  t.is(collector.reports().length, 1);
});

test("a suspected instance is avoided for a limited time", (t) => {
  const state = { now: 0 };
  const list = LiveInstanceList.create({
    clock: { now: () => state.now, wall: () => state.now },
    suspicionMs: 1000,
  });
  const row = {
    instance: "entry-1",
    role: "entry" as const,
    dataCentre: "centre-a",
    address: "127.0.0.1:1",
    leaving: false,
  };
  list.update([row]);
  list.suspect("entry-1");
  t.is(list.usable("centre-a").length, 0);
  state.now = 1001;
  t.is(list.usable("centre-a").length, 1);
});
