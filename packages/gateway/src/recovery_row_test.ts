import { Quarantine } from "@banyanspool/quarantine";
import { StreamOrigins, VersionHistory } from "@banyanspool/streams";
import type { BackendServer } from "@banyanspool/types";
import test from "ava";
import {
  composeRow,
  decodeRow,
  digestRow,
  encodeRow,
  recallRow,
} from "./recovery_row.ts";

const FATAL = { digest: "fatal", parts: [] };

/** What a gateway stores, with a clock of its own. */
function createGateway({ wall = 1_000_000, isFirstStart = false } = {}) {
  let now = 0;
  const clock = { now: () => now, wall: () => wall + now };
  const list = (...versions: string[]) => {
    const servers = versions.map((softwareVersion) =>
      ({ service: "pool", softwareVersion }) as BackendServer
    );
    ctx.versionHistory.update(servers);
    ctx.versionHistory.confirm({ ageMs: 0 });
  };
  const ctx = {
    clock,
    versionHistory: VersionHistory.create({
      clock,
      isFirstStart,
      windowMs: 30_000,
    }),
    streamOrigins: StreamOrigins.create({
      clock,
      sleep: () => Promise.resolve(),
      windowMs: 30_000,
      keepersOf: () => [],
      send: () => {},
    }),
    quarantine: Quarantine.create({
      clock,
      isTrialOwner: () => false,
      onStart: () => {},
      onCleared: () => {},
    }),
  };
  return { ctx, list, advance: (ms: number) => now += ms };
}

test("a gateway that starts knows from the rows which version can have begun a stream", (t) => {
  const before = createGateway({ isFirstStart: true });
  before.list("v1");
  const row = decodeRow(encodeRow(composeRow(before.ctx)))!;
  const after = createGateway();
  after.list("v1");
  t.is(after.ctx.versionHistory.onlyVersion("pool"), undefined);
  recallRow(after.ctx, row);
  t.is(after.ctx.versionHistory.onlyVersion("pool"), "v1");
  after.list("v2");
  t.is(after.ctx.versionHistory.onlyVersion("pool"), undefined);
});

test("rows with several versions leave none certain, but the streams that they name", async (t) => {
  const before = createGateway({ isFirstStart: true });
  before.ctx.streamOrigins.record({ id: "begun", version: "v1" });
  before.ctx.streamOrigins.record({ id: "whole", version: "v1" });
  before.ctx.streamOrigins.complete("whole");
  before.list("v1");
  t.deepEqual(composeRow(before.ctx).origins, [], "a single version");
  before.list("v1", "v2");
  const row = decodeRow(encodeRow(composeRow(before.ctx)))!;
  const after = createGateway();
  after.list("v1");
  recallRow(after.ctx, row);
  t.is(after.ctx.versionHistory.onlyVersion("pool"), undefined);
  t.is(await after.ctx.streamOrigins.find("begun"), "v1");
  t.is(await after.ctx.streamOrigins.find("whole"), undefined);
});

test("a list that wasn't confirmed for a time ends what was recalled", (t) => {
  const { ctx, list, advance } = createGateway();
  ctx.versionHistory.recall("pool", ["v1"]);
  list("v1");
  t.is(ctx.versionHistory.onlyVersion("pool"), "v1");
  advance(5000);
  list("v1");
  t.is(ctx.versionHistory.onlyVersion("pool"), undefined);
});

test("a quarantine goes on for the time that it had left when its row was written", (t) => {
  const before = createGateway();
  for (const replica of ["r1", "r2", "r3"]) {
    before.ctx.quarantine.recordCrash(replica, [FATAL]);
    before.advance(400);
  }
  before.ctx.quarantine.recordCrash("r4", [FATAL]);
  const { retryAfterMs } = before.ctx.quarantine.check(FATAL)!;
  const row = decodeRow(encodeRow(composeRow(before.ctx)))!;
  const after = createGateway({ wall: row.writtenAt + 5000 });
  recallRow(after.ctx, row);
  t.is(after.ctx.quarantine.check(FATAL)?.retryAfterMs, retryAfterMs - 5000);
  const late = createGateway({ wall: row.writtenAt + 1_000_000 });
  recallRow(late.ctx, row);
  t.is(late.ctx.quarantine.check(FATAL), undefined);
});

test("a row changes with what it holds, and not with time", (t) => {
  const { ctx, list, advance } = createGateway({ isFirstStart: true });
  list("v1");
  for (const replica of ["r1", "r2"]) {
    ctx.quarantine.recordCrash(replica, [FATAL]);
  }
  const digest = digestRow(composeRow(ctx));
  advance(700);
  t.is(digestRow(composeRow(ctx)), digest);
  list("v2");
  t.not(digestRow(composeRow(ctx)), digest);
});

test("a row that can't be read is left out", (t) => {
  for (const text of ["", "{", "[]", "{}", '{"writtenAt":"x"}']) {
    t.is(decodeRow(text), undefined);
  }
});
