import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { reservePort } from "./ports.ts";

/** Above all process ids of the system. */
const NO_PROCESS = 2 ** 30;

// Two test processes picked one port before either listened on it.
test("a port that a running process has reserved is not reserved again", (t) => {
  const folder = mkdtempSync(join(tmpdir(), "ports-"));
  t.true(reservePort(1, folder));
  t.false(reservePort(1, folder));
  writeFileSync(join(folder, "2"), String(process.ppid));
  t.false(reservePort(2, folder));
  writeFileSync(join(folder, "3"), String(NO_PROCESS));
  t.true(reservePort(3, folder));
});
