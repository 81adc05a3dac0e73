import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import {
  readEntrySettings,
  readGatewaySettings,
  SettingsError,
} from "./mod.ts";

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

const GATEWAY = `
instance = "g"
data_centre = "north-a"
public_listen = "127.0.0.1:1"
readiness_listen = "127.0.0.1:2"
peer_listen = "127.0.0.1:3"
metrics_listen = "127.0.0.1:4"
store_address = "127.0.0.1:5"
grace_ms = 8e3
lease_ms = 3000
retry_ratio = 0.2
retry_burst = 54
limit_window_ms = 8e3
limit_overage = 0.1
limit_slack = 110000
`;

// A platform without these fields leaves them empty, and no gateway started.
test("settings that a template leaves empty have their defaults", (t) => {
  const empty = `memory_mb = ""\nmax_fds = ""\nregions = ''\n`;
  const cfg = readGatewaySettings(writeSettings(GATEWAY + empty));
  t.is(cfg.memory_mb, undefined);
  t.is(cfg.max_fds, undefined);
  t.is(cfg.regions, undefined);
});

test("settings that a template fills in are read, and wrong ones reported", (t) => {
  const filled =
    `memory_mb = "350"\nmax_fds = "4100"\nregions = '{"north-a":"north"}'\n`;
  const cfg = readGatewaySettings(writeSettings(GATEWAY + filled));
  t.is(cfg.memory_mb, 350);
  t.is(cfg.max_fds, 4100);
  t.deepEqual(cfg.regions, { "north-a": "north" });
  const wrong = GATEWAY + `memory_mb = "much"\n`;
  t.throws(() => readGatewaySettings(writeSettings(wrong)), {
    message: /memory_mb/,
  });
});
