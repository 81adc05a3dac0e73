// Starts gateways as the platform does: with the command, the template and the
// restarts of the deploy file, on loopback addresses.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const RESTART_MS = 300;
const SETTINGS_PATH = "/etc/banyanspool/local.conf";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const value = (name) => new RegExp(`^${name} = "(.*)"$`, "m").exec(text)[1];
  return { run: value("run").split(" "), template: value("template") };
}

/** Fills in the placeholders that the project's template uses. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = path.split(".").reduce((at, name) => at?.[name], fields);
    return json ? JSON.stringify(value) : String(value ?? "");
  });
}

async function isFree(host, port) {
  const server = createServer();
  return await new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Finds a block of four ports that is free on all hosts. */
async function findPorts(hosts) {
  for (let tries = 0; tries < 200; tries += 1) {
    const base = 20_000 + 10 * Math.floor(Math.random() * 1000);
    const checks = hosts.flatMap((host) =>
      [0, 1, 2, 3].map((i) => isFree(host, base + i))
    );
    if ((await Promise.all(checks)).every(Boolean)) return base;
  }
  throw new Error("Cannot find free ports");
}

/** Starts `count` gateways; `bounds` holds the site's bounds. */
export async function startGateways({ count, store, bounds, record }) {
  const { run, template } = readDeployFile();
  const source = readFileSync(join(ROOT, template), "utf8");
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const net = 1 + Math.floor(Math.random() * 250);
  const hosts = Array.from(
    { length: count },
    (_, i) => `127.0.${net}.${i + 1}`,
  );
  const base = await findPorts(hosts);
  const gateways = hosts.map((host, i) => ({
    name: `front-zone-a-${i + 1}`,
    host,
    port: base,
    readinessPort: base + 1,
    child: undefined,
    starts: 0,
    /** Times at which the process ended by itself. */
    ends: [],
    lastError: "",
  }));
  let isClosed = false;

  function start(gateway) {
    const path = join(folder, `${gateway.name}.conf`);
    const fields = {
      node: gateway.name,
      zone: "zone-a",
      ip: gateway.host,
      listen: {
        front: `${gateway.host}:${base}`,
        readiness: `${gateway.host}:${base + 1}`,
      },
      internalPorts: [base + 2, base + 3],
      platform: { address: store.address },
      bootstrap: gateway.starts === 0,
      bounds,
    };
    writeFileSync(path, render(source, fields));
    gateway.starts += 1;
    const [program, ...words] = run.map((word) =>
      word === SETTINGS_PATH ? path : word
    );
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, BANYANSPOOL_BOOT: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    gateway.child = child;
    let stderr = "";
    child.stdout.on("data", (text) => gateway.log?.(String(text)));
    child.stderr.on("data", (text) => {
      stderr = (stderr + text).slice(-4000);
    });
    child.on("exit", (code, signal) => {
      if (isClosed) return;
      gateway.ends.push(performance.now());
      const cause = stderr.split("\n").find((line) =>
        /^\w*Error\b/.test(line)
      ) ?? "";
      gateway.lastError = cause.trim();
      record(`${gateway.name} ended by itself: ${code ?? signal} ${cause}`);
      setTimeout(() => isClosed || start(gateway), RESTART_MS);
    });
  }

  /** Ends all processes and removes the folder. */
  function close() {
    isClosed = true;
    for (const { child } of gateways) child?.kill("SIGKILL");
    rmSync(folder, { recursive: true, force: true });
  }

  process.on("exit", close);
  for (const gateway of gateways) start(gateway);
  return { gateways, close };
}

/** Whether a gateway answers its readiness check with 200. */
export function isReady({ host, readinessPort }) {
  return new Promise((resolve) => {
    const req = request({
      host,
      port: readinessPort,
      path: "/v1/ready",
      timeout: 900,
    }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(false));
    req.end();
  });
}

/** Waits until all gateways are ready; false if they aren't in time. */
export async function awaitReady(gateways, withinMs = 20_000) {
  const until = performance.now() + withinMs;
  while (performance.now() < until) {
    const ready = await Promise.all(gateways.map(isReady));
    if (ready.every(Boolean)) return true;
    await sleep(100);
  }
  return false;
}
