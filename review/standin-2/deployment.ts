import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { Agent, request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { FleetStandin } from "@banyanspool/platform-adapter/testing";

/** Gateway of the deploy file, and what the bench of a small site allows it. */
const GATEWAY = "target/banyanspoold.cjs";
const HEAP_OPTION = "--max-old-space-size=160";
export const MEMORY_MB = 350;
const MAX_FDS = 4100;
const BYTES_PER_KB = 1024;

/** Exit code of a case that couldn't run. */
export const NOT_RUN = 2;

const host = "127.0.0.1";

/** Processes that are ended with the script, however it ends. */
const running: Set<ChildProcess> = new Set();
process.on("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});
process.on("SIGTERM", () => process.exit(NOT_RUN));
for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (error) => {
    console.error(error);
    process.exit(NOT_RUN);
  });
}

/** Settings of one gateway that cases vary. */
export interface GatewayOptions {
  readonly instance?: string;
  readonly storeAddress: string;
  /** Loopback address of the gateway's peer port. */
  readonly peerHost?: string;
  readonly peerPort?: number;
  readonly isFirstStart?: boolean;
}

/** A gateway started with the command of the deploy file. */
export class Gateway {
  readonly port: number;
  readonly readiness: number;
  readonly metrics: number;
  readonly child: ChildProcess;
  readonly #folder: string;
  output = "";
  exit: string | undefined;

  private constructor(
    ports: { port: number; readiness: number; metrics: number },
    child: ChildProcess,
    folder: string,
  ) {
    this.port = ports.port;
    this.readiness = ports.readiness;
    this.metrics = ports.metrics;
    this.child = child;
    this.#folder = folder;
    const keep = (bytes: Buffer) => {
      this.output = (this.output + bytes.toString()).slice(-2_000_000);
    };
    child.stdout!.on("data", keep);
    child.stderr!.on("data", keep);
    running.add(child);
    child.on("exit", (code, signal) => {
      running.delete(child);
      this.exit = signal ?? `code ${code}`;
    });
  }

  static async start(options: GatewayOptions): Promise<Gateway> {
    const {
      instance = "front-a-1",
      peerHost = host,
      isFirstStart = true,
    } = options;
    const [port, readiness, peer, metrics] = await freePorts(4);
    const folder = mkdtempSync(join(tmpdir(), "banyanspool-review-"));
    const file = join(folder, "gateway.toml");
    writeFileSync(
      file,
      `instance = "${instance}"
data_centre = "north-a"
public_listen = "${host}:${port}"
readiness_listen = "${host}:${readiness}"
peer_listen = "${peerHost}:${options.peerPort ?? peer}"
metrics_listen = "${host}:${metrics}"
store_address = "${options.storeAddress}"
first_start = ${isFirstStart}
grace_ms = 8e3
lease_ms = 3000
retry_ratio = 0.2
retry_burst = 54
limit_window_ms = 8e3
limit_overage = 0.1
limit_slack = 110000
memory_mb = "${MEMORY_MB}"
max_fds = "${MAX_FDS}"
regions = '{"north-a":"north"}'
`,
    );
    const child = spawn(process.execPath, [
      HEAP_OPTION,
      GATEWAY,
      "gateway",
      "--settings",
      file,
    ], { stdio: ["ignore", "pipe", "pipe"] });
    const gateway = new Gateway(
      { port: port!, readiness: readiness!, metrics: metrics! },
      child,
      folder,
    );
    return gateway;
  }

  get pid(): number {
    return this.child.pid!;
  }

  async ready(): Promise<void> {
    for (let i = 0; i < 200; i += 1) {
      if (this.exit !== undefined) {
        throw new Error(`gateway ended (${this.exit}): ${this.output}`);
      }
      if (await getStatus(this.readiness, "/v1/ready") === 200) return;
      await delay(50);
    }
    throw new Error(`gateway is not ready: ${this.output}`);
  }

  /** Resident memory in MB; undefined if the process has ended. */
  residentMb(): number | undefined {
    try {
      const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
      const kb = Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1]);
      return Number.isNaN(kb) ? undefined : Math.round(kb / BYTES_PER_KB);
    } catch {
      return undefined;
    }
  }

  async end(): Promise<void> {
    if (this.exit === undefined) {
      this.child.kill("SIGCONT");
      this.child.kill("SIGKILL");
      while (this.exit === undefined) await delay(10);
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Status of a GET request; undefined if there is none within two seconds. */
export function getStatus(
  port: number,
  path: string,
): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request(
      { host, port, path, agent: false, timeout: 2000 },
      (res) => {
        res.resume();
        res.on("end", () => resolve(res.statusCode));
        res.on("error", () => resolve(undefined));
      },
    );
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(undefined));
    req.end();
  });
}

/** Ports that are free now, below those of outgoing connections. */
export async function freePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = 20_000 + Math.floor(Math.random() * 10_000);
    const isFree = await new Promise<boolean>((resolve) => {
      const server = createServer();
      server.once("error", () => resolve(false));
      server.listen(port, host, () => server.close(() => resolve(true)));
    });
    if (isFree && !ports.includes(port)) ports.push(port);
  }
  return ports;
}

/** Collects lines and writes them to `record.txt` beside the script. */
export class Recorder {
  readonly #file: string;
  readonly #startedAt = performance.now();
  #lines: string[] = [];

  constructor(file: string) {
    this.#file = file;
  }

  line(text: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1000;
    const line = `${seconds.toFixed(3)} ${text}`;
    this.#lines.push(line);
    writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

/** Host of all routes. */
export const ROUTE_HOST = "yard.example";
/** One key for each of five organisations. */
export const KEYS = [0, 1, 2, 3, 4].map((i) => `i9n73hh2b9wu3fexd9d${i}`);

/**
 * Starts the stand-ins of the store and writes a configuration like that of a
 * small site: limits, rates and times are those that its pages show.
 */
export async function startFleet(): Promise<FleetStandin> {
  const fleet = await FleetStandin.create();
  const route = (name: string, kind: string, service: string) => ({
    name,
    host: ROUTE_HOST,
    prefix: `/${name}/`,
    kind,
    service,
    timeoutMs: kind === "safe" ? 1000 : 15_000,
    targetLatencyMs: kind === "streaming" ? 1500 : 193,
    priority: 1,
    maxAttempts: kind === "non_idempotent" ? 1 : 2,
    public: name === "open",
    resumable: kind === "streaming",
    gapAimMs: 400,
  });
  const model = (name: string) => ({
    name,
    weightsMb: 72_700,
    loadTimeS: 1.2,
    adapters: 0,
    adapterMb: 66,
  });
  fleet.store.put("op", "config", {
    version: 7,
    routes: [
      route("chat", "streaming", "model-pool"),
      route("credit", "non_idempotent", "returns-app"),
      route("stock", "safe", "returns-app"),
      route("open", "safe", "returns-app"),
    ],
    services: [
      { name: "returns-app", healthPath: "/healthz", maxConns: 100 },
      {
        name: "model-pool",
        healthPath: "/healthz",
        maxConns: 360,
        engine: {
          slots: 64,
          kvCapacityTokens: 234_138,
          weightsMb: 220_000,
          adapterSlots: 5,
          loadsPerS: 1.1,
          models: [model("m1"), model("m2")],
        },
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: KEYS.map((key, i) => ({
      name: `hule93${i}`,
      apiKeys: [key],
      priority: 1,
      unit: "tokens",
      plainTokens: 200,
      ratePerS: 53_175,
      burst: 68_874,
    })),
  });
  return fleet;
}

/** How a request ended for its caller. */
export interface Answer {
  /** Status; undefined if the connection ended before an answer. */
  readonly status?: number;
  readonly text: string;
  /** Whether the answer came whole. */
  readonly isWhole: boolean;
  readonly tookMs: number;
}

/** What a caller sends. */
export interface CallOptions {
  readonly port: number;
  readonly id: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly agent?: Agent;
  readonly deadlineMs: number;
}

/** Sends a GET request as a caller does; never rejects. */
export function call(
  { port, id, path, headers = {}, agent, deadlineMs }: CallOptions,
): Promise<Answer> {
  const startedAt = performance.now();
  return new Promise((resolve) => {
    let text = "";
    const end = (status: number | undefined, isWhole: boolean) =>
      resolve({ status, text, isWhole, tookMs: performance.now() - startedAt });
    const req = request({
      host,
      port,
      path,
      agent: agent ?? false,
      headers: {
        "Host": ROUTE_HOST,
        "Request-Id": id,
        "Deadline-Ms": String(deadlineMs),
        ...headers,
      },
    }, (res) => {
      res.on("data", (bytes: Buffer) => text += bytes.toString());
      res.on("end", () => end(res.statusCode, res.complete));
      res.on("error", () => end(res.statusCode, false));
      res.on("close", () => end(res.statusCode, res.complete));
    });
    req.on("error", () => end(undefined, false));
    req.end();
  });
}
