import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { readEntrySettings, SettingsError } from "./mod.ts";

function writeSettings(text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), "settings-")), "entry.toml");
  writeFileSync(file, text);
  return file;
}

test("all errors in a settings file are reported together", (t) => {
  const file = writeSettings(
    'instance = "e"\npublic_listen = "localhost:80"\nodd = 1\n',
  );
  const error = t.throws(() => readEntrySettings(file), {
    instanceOf: SettingsError,
  });
  const text = error!.faults.join("\n");
  t.regex(text, /public_listen: must be an IP number and a port/);
  t.regex(text, /data_centre/);
  t.regex(text, /odd/);
});

test("a syntax error is reported with file and line", (t) => {
  const file = writeSettings('instance = "e"\n= 5\n');
  const error = t.throws(() => readEntrySettings(file), {
    instanceOf: SettingsError,
  });
  t.regex(error!.message, /entry\.toml.*\n.*line 2/s);
});

test("a missing file is reported by name", (t) => {
  t.throws(() => readEntrySettings("/nowhere.toml"), {
    message: /\/nowhere\.toml/,
  });
});
