import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createRequire } from "node:module";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import {
  FleetStandin,
  type ReplicaHandler,
  STANDIN_HOST,
  STANDIN_KEY,
  type StandinConfiguration,
} from "@banyanspool/platform-adapter/testing";
import { pickPorts } from "@banyanspool/standins";
import { ChildProcess, waitUntil } from "@banyanspool/testbed";

/** Memory of the machine, in MB, as the settings name it. */
export const MEMORY_MB = 210;
/** Descriptors of the machine, as the settings name them. */
export const MAX_FDS = 500;
/** Longest body of the configuration, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;
const HEAP_MB = 100;
/** So long that no request of a crowd ends by itself. */
const ROUTE_TIMEOUT_MS = 120_000;

const GATEWAY_MAIN = join(
  dirname(
    createRequire(import.meta.url).resolve(
      "@banyanspool/daemon/bin/banyanspoold.js",
    ),
  ),
  "../dist/gateway_main.js",
);

/** Options of {@link GatewayProcess.start}. */
export interface GatewayProcessOptions {
  /** Differences from the configuration of these tests. */
  readonly configuration?: StandinConfiguration;
  /** How the replicas answer. */
  readonly answer?: ReplicaHandler;
}

/** A gateway as a process of its own, with stand-ins for its platform. */
export class GatewayProcess {
  /** Port for callers. */
  readonly port: number;
  readonly #child: ChildProcess;
  readonly #fleet: FleetStandin;
  readonly #folder: string;
  #hasExited = false;
  #nextCall = 0;

  private constructor(
    { port, child, fleet, folder }: {
      port: number;
      child: ChildProcess;
      fleet: FleetStandin;
      folder: string;
    },
  ) {
    this.port = port;
    this.#child = child;
    this.#fleet = fleet;
    this.#folder = folder;
    void child.exited.then(() => this.#hasExited = true);
  }

  /** Starts a gateway, and waits until it is ready. */
  static async start(
    { configuration, answer }: GatewayProcessOptions = {},
  ): Promise<GatewayProcess> {
    const fleet = await FleetStandin.create({
      timeoutMs: ROUTE_TIMEOUT_MS,
      targetLatencyMs: ROUTE_TIMEOUT_MS,
      maxBodyBytes: MAX_BODY_BYTES,
      ...configuration,
    });
    await fleet.addReplica({ id: "plain-1", service: "desk", answer });
    await fleet.addReplica({
      id: "model-1",
      service: "pool",
      holds: ["m1"],
      answer,
    });
    const ports = await pickPorts(4);
    const [port, readiness, peer, metrics] = ports as [
      number,
      number,
      number,
      number,
    ];
    const folder = mkdtempSync(join(tmpdir(), "banyanspool-crowd-"));
    const file = join(folder, "gateway.toml");
    const local = (port: number) => `"127.0.0.1:${port}"`;
    writeFileSync(
      file,
      `instance = "gateway-1"
data_centre = "north"
public_listen = ${local(port)}
readiness_listen = ${local(readiness)}
peer_listen = ${local(peer)}
metrics_listen = ${local(metrics)}
store_address = "${fleet.store.address}"
first_start = true
grace_ms = 4000
lease_ms = 1000
retry_ratio = 0.2
retry_burst = 50
limit_window_ms = 2000
limit_overage = 0.1
limit_slack = 100
memory_mb = ${MEMORY_MB}
max_fds = ${MAX_FDS}
`,
    );
    const child = await ChildProcess.start({
      name: "gateway",
      file: `--max-old-space-size=${HEAP_MB}`,
      args: [GATEWAY_MAIN, "gateway", "--settings", file],
    });
    const gateway = new GatewayProcess({ port, child, fleet, folder });
    await waitUntil("gateway is ready", async () => {
      const url = `http://127.0.0.1:${readiness}/v1/ready`;
      const res = await fetch(url).catch(() => undefined);
      await res?.arrayBuffer();
      return res?.status === 200;
    });
    return gateway;
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid;
  }

  /** What the process has printed. */
  get output(): string {
    return this.#child.output;
  }

  /** Whether the process that was started is still running. */
  get isAlive(): boolean {
    return !this.#hasExited;
  }

  /** Sends an ordinary request on a connection of its own; returns its status. */
  async call(target: string, body?: string): Promise<number> {
    return await new Promise((resolve, reject) => {
      const req = request({
        host: "127.0.0.1",
        port: this.port,
        path: target,
        method: body === undefined ? "GET" : "POST",
        agent: false,
        headers: {
          host: STANDIN_HOST,
          "request-id": `ordinary-${this.#nextCall++}`,
          authorization: `Bearer ${STANDIN_KEY}`,
        },
      }, (res) => {
        res.resume();
        res.on("end", () => resolve(res.statusCode ?? 0));
      });
      req.on("error", reject);
      req.end(body);
    });
  }

  /** Ends the process and the stand-ins. */
  async stop(): Promise<void> {
    if (this.isAlive) await this.#child.kill();
    this.#fleet.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}
