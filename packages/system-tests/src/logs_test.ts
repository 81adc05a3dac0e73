import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test, { type ExecutionContext } from "ava";
import { runClient } from "@banyanspool/testbed";

function writeLogs(t: ExecutionContext): string[] {
  const folder = mkdtempSync(join(tmpdir(), "banyanspool-logs-"));
  t.teardown(() => rmSync(folder, { recursive: true }));
  const lines = [
    { time: 2000, instance: "g-1", event: "attempt", id: "r1", replica: "i-1" },
    { time: 3000, instance: "g-1", event: "request", id: "r1", took_ms: 1500 },
    { time: 1000, instance: "g-2", event: "placement lease held" },
  ];
  return lines.map((line, i) => {
    const file = join(folder, `${i}.log`);
    writeFileSync(file, `ready g-1\n${JSON.stringify(line)}\n`);
    return file;
  });
}

test("logs follow: one request is found in several files, without a deployment", async (t) => {
  const files = writeLogs(t);
  const { code, stdout } = await runClient(undefined, [
    "logs",
    "follow",
    "r1",
    ...files,
  ]);
  t.is(code, 0);
  const events = stdout.split("\n").slice(1)
    .map((line) => /attempt|request|placement lease held/.exec(line)?.[0])
    .filter((event) => event !== undefined);
  t.deepEqual(events, ["placement lease held", "attempt", "request"]);
});

test("logs follow: an unknown id and a missing file are reported", async (t) => {
  const files = writeLogs(t);
  const unknown = await runClient(undefined, [
    "logs",
    "follow",
    "r9",
    ...files,
  ]);
  t.is(unknown.code, 1);
  t.regex(unknown.stderr, /about request "r9"/);
  const missing = await runClient(undefined, ["logs", "follow", "r1", "none"]);
  t.is(missing.code, 2);
  t.regex(missing.stderr, /Cannot read log "none"/);
});

// It printed "0 of 0 requests" for a file without a line that it could read.
test("logs causes: a log without structured lines is an error that names it", async (t) => {
  const [file = ""] = writeLogs(t);
  writeFileSync(file, "ready g-1\nsome text\n");
  const { code, stdout, stderr } = await runClient(undefined, [
    "logs",
    "causes",
    file,
  ]);
  t.is(code, 2);
  t.is(stdout, "");
  t.true(stderr.includes(`Cannot read log "${file}"`), stderr);
});

// Lines with a time before their JSON were skipped without a word.
test("logs causes: lines with a prefix are read, and skipped ones are counted", async (t) => {
  const files = writeLogs(t);
  for (const file of files) {
    const prefixed = readFileSync(file, "utf8").replaceAll(/^/gm, "0.1 s g-1 ");
    writeFileSync(file, prefixed);
  }
  const { code, stdout, stderr } = await runClient(undefined, [
    "logs",
    "causes",
    ...files,
  ]);
  t.is(code, 0);
  t.regex(stdout, /of 1 requests/);
  t.regex(stderr, /lines skipped/);
});
