/**
 * A small deployment for a case: gateways as processes of their own, with the
 * command and the settings' template of the deploy file, on loopback addresses.
 */
import { spawn } from "node:child_process";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = fileURLToPath(new URL("../..", import.meta.url));
/** Whether the case plays its disruption. */
export const TROUBLE = process.env.TROUBLE !== "0";
const SETTINGS_PATH = "/etc/banyanspool/local.conf";
const MAX_RUN_MS = 110_000;

/** Bounds of the site that the cases are like (dongbu-returns). */
export const BOUNDS = {
  contactMs: 3000,
  graceS: 8,
  leaseMs: 3000,
  retryBudgetRatio: 0.2,
  budgetSlack: 54,
  quotaWindowS: 8,
  quotaOverage: 0.1,
  quotaSlack: 110_000,
};

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * Runs a case: `play` gets a {@link Deployment} and returns what broke the rule,
 * or undefined. Ends the process with 1, 0, or 2 if the case could not run.
 */
export async function runCase(folder, play) {
  const deployment = new Deployment(fileURLToPath(folder));
  const end = (code) => {
    deployment.close();
    process.exit(code);
  };
  for (const signal of ["SIGINT", "SIGTERM"]) process.on(signal, () => end(2));
  process.on("exit", () => deployment.close());
  process.on("uncaughtException", (error) => {
    deployment.note(`the case could not run: ${error.stack}`);
    console.error(error);
    end(2);
  });
  setTimeout(() => {
    deployment.note("the case took too long");
    end(2);
  }, MAX_RUN_MS).unref();
  try {
    deployment.note(`trouble: ${TROUBLE ? "yes" : "no"}`);
    const broken = await play(deployment);
    const verdict = broken === undefined
      ? "the rule held"
      : `THE RULE WAS BROKEN: ${broken}`;
    deployment.note(verdict);
    console.log(verdict);
    await deployment.flush();
    end(broken === undefined ? 0 : 1);
  } catch (error) {
    deployment.note(`the case could not run: ${error.stack}`);
    console.error(error);
    await deployment.flush();
    end(2);
  }
}

export class Deployment {
  /** Gateways: `name`, `host`, `port` and `child`. */
  gateways = [];
  #record;
  #folder = mkdtempSync(join(tmpdir(), "banyanspool-case-"));
  #startedAt = performance.now();
  #closed = false;

  constructor(folder) {
    this.#record = createWriteStream(join(folder, "record.txt"));
  }

  /** Writes a line to the record, with the time in s. */
  note(text) {
    const at = ((performance.now() - this.#startedAt) / 1000).toFixed(3);
    this.#record.write(`${at.padStart(8)} ${text}\n`);
  }

  flush() {
    return new Promise((resolve) => this.#record.end(resolve));
  }

  /** Starts gateways on 127.0.0.11 and so on, and waits until all are ready. */
  async startGateways(count, { store, zones = ["zone-a"] }) {
    const port = await findPorts(
      Array.from({ length: count }, (_, i) => `127.0.0.${11 + i}`),
    );
    for (let i = 0; i < count; i += 1) {
      const host = `127.0.0.${11 + i}`;
      const name = `front-${i + 1}`;
      const file = join(this.#folder, `${name}.conf`);
      const fields = {
        node: name,
        zone: zones[i % zones.length],
        zones: Object.fromEntries(zones.map((zone) => [zone, "region"])),
        ip: host,
        listen: {
          front: `${host}:${port}`,
          readiness: `${host}:${port + 1}`,
        },
        internalPorts: [port + 2, port + 3],
        platform: { address: store.address },
        bootstrap: true,
        bounds: BOUNDS,
        limits: { memoryMb: 350, maxFds: 4100 },
      };
      const gateway = { name, host, port, file, fields };
      this.#spawn(gateway);
      this.gateways.push(gateway);
    }
    for (const gateway of this.gateways) {
      await waitUntil(() => isReady(gateway), "a gateway is not ready");
    }
    this.note(`${count} gateways are ready`);
  }

  /**
   * Kills gateways as the platform does, and starts each again after a delay with
   * settings that say that the system has run before. Resolves when all are ready.
   */
  async killAndRestart(gateways, delayMs) {
    for (const { child } of gateways) child.kill("SIGKILL");
    this.note(`killed ${gateways.map(({ name }) => name).join(", ")}`);
    await sleep(delayMs);
    for (const gateway of gateways) {
      gateway.fields.bootstrap = false;
      this.#spawn(gateway);
    }
    for (const gateway of gateways) {
      await waitUntil(() => isReady(gateway), "a gateway is not ready");
    }
    this.note("the gateways are ready again");
  }

  #spawn(gateway) {
    const { command, template } = readDeployFile();
    writeFileSync(gateway.file, render(template, gateway.fields));
    const args = command.split(" ").map((word) =>
      word === SETTINGS_PATH ? gateway.file : word
    );
    gateway.child = spawn(args[0], args.slice(1), {
      cwd: ROOT,
      stdio: ["ignore", "ignore", "ignore"],
    });
  }

  close() {
    if (this.#closed) return;
    this.#closed = true;
    for (const { child } of this.gateways) child.kill("SIGKILL");
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Sends one request on a connection of its own; resolves with its answer. */
export function send(gateway, { method = "POST", path, headers, body = "" }) {
  return new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (answer) =>
      resolve({ sentAt, endedAt: performance.now(), ...answer });
    const req = request({
      host: gateway.host,
      port: gateway.port,
      method,
      path,
      headers: method === "GET"
        ? headers
        : { ...headers, "content-length": Buffer.byteLength(body) },
      agent: false,
    }, async (res) => {
      let text = "";
      try {
        for await (const piece of res) text += piece;
        end({ status: res.statusCode, headers: res.headers, text });
      } catch {
        end({ status: res.statusCode, headers: res.headers, isCut: true });
      }
    });
    req.on("error", (error) => end({ error: error.code ?? error.message }));
    req.end(method === "GET" ? undefined : body);
  });
}

async function isReady({ host, port }) {
  const answer = await send({ host, port: port + 1 }, {
    method: "GET",
    path: "/v1/ready",
    headers: {},
  });
  return answer.status === 200;
}

export async function waitUntil(isMet, what, withinMs = 20_000) {
  const until = performance.now() + withinMs;
  while (performance.now() < until) {
    if (await isMet()) return;
    await sleep(50);
  }
  throw new Error(what);
}

function readDeployFile() {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const role = text.slice(text.indexOf("[roles.gateway]"));
  const read = (key) => new RegExp(`^${key} = "(.*)"$`, "m").exec(role)[1];
  const path = join(ROOT, read("template"));
  return { command: read("run"), template: readFileSync(path, "utf8") };
}

/** Fills in the placeholders that the template of the gateway uses. */
function render(template, fields) {
  return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, isJson) => {
    const value = path.split(".").reduce((at, key) => at?.[key], fields);
    if (isJson || typeof value === "object") return JSON.stringify(value);
    return value === undefined ? "" : String(value);
  });
}

/** First of four ports that are free on all hosts. */
async function findPorts(hosts) {
  for (let tries = 0; tries < 200; tries += 1) {
    const port = 20_000 + 10 * Math.floor(Math.random() * 1100);
    const checks = hosts.flatMap((host) =>
      [0, 1, 2, 3].map((offset) => isFree(host, port + offset))
    );
    if (!(await Promise.all(checks)).includes(false)) return port;
  }
  throw new Error("no free ports");
}

function isFree(host, port) {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}
