import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { readEntrySettings, SettingsError } from "./mod.ts";

function write(text: string): string {
  const file = join(mkdtempSync(join(tmpdir(), "settings-")), "entry.toml");
  writeFileSync(file, text);
  return file;
}

test("all faults of a file are listed at once", (t) => {
  const file = write(
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

test("a broken file is named with its line", (t) => {
  const file = write('instance = "e"\n= 5\n');
  const error = t.throws(() => readEntrySettings(file), {
    instanceOf: SettingsError,
  });
  t.regex(error!.message, /entry\.toml.*\n.*line 2/s);
});

test("a file that is not there is named", (t) => {
  t.throws(() => readEntrySettings("/nowhere.toml"), {
    message: /\/nowhere\.toml/,
  });
});
