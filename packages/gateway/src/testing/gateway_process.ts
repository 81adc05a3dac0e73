import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { ExecutionContext } from "ava";
import type { FleetStandin } from "@banyanspool/platform-adapter/testing";
import { findFreePort, sendTo, waitFor } from "./running_gateway.ts";

const MAIN = fileURLToPath(
  new URL("../../../daemon/src/gateway_main.ts", import.meta.url),
);
const HOST = "127.0.0.1";
const BYTES_PER_KIB = 1024;
const ANSWER_TIMEOUT_MS = 30_000;

/** A gateway in a process of its own. */
export interface GatewayProcess {
  readonly child: ChildProcess;
  readonly host: string;
  readonly publicPort: number;
  readonly readinessPort: number;
  readonly peerPort: number;
  readonly metricsPort: number;
  /** Peak of the resident memory since the start, in bytes. */
  readonly peakResidentBytes: () => number;
  /** Number of open descriptors. */
  readonly descriptors: () => number;
}

/** Starts a gateway as a process of its own and waits until it is ready. */
export async function startGatewayProcess(
  t: ExecutionContext,
  fleet: FleetStandin,
  settings: Readonly<Record<string, number>> = {},
): Promise<GatewayProcess> {
  const port = await findFreePort(HOST);
  const cfg = {
    instance: "gateway-1",
    data_centre: "north",
    public_listen: `${HOST}:${port}`,
    readiness_listen: `${HOST}:${port + 1}`,
    peer_listen: `${HOST}:${port + 2}`,
    metrics_listen: `${HOST}:${port + 3}`,
    store_address: fleet.store.address,
    first_start: true,
    grace_ms: 4000,
    lease_ms: 1000,
    retry_ratio: 0.2,
    retry_burst: 50,
    limit_window_ms: 2000,
    limit_overage: 0.1,
    limit_slack: 100,
    log_lines_per_s: 100,
    ...settings,
  };
  const folder = mkdtempSync(join(tmpdir(), "banyanspool-gateway-"));
  const file = join(folder, "gateway.toml");
  const lines = Object.entries(cfg).map(([key, value]) =>
    `${key} = ${JSON.stringify(value)}\n`
  );
  writeFileSync(file, lines.join(""));
  const child = spawn(process.execPath, [
    "--import=tsx",
    "--conditions=source",
    MAIN,
    "gateway",
    "--settings",
    file,
  ], { stdio: "ignore" });
  t.teardown(() => child.kill("SIGKILL"));
  const proc = `/proc/${child.pid}`;
  await waitFor(async () =>
    (await get(port + 1, "/v1/ready").catch(() => 0)) === 200
  );
  return {
    child,
    host: HOST,
    publicPort: port,
    readinessPort: port + 1,
    peerPort: port + 2,
    metricsPort: port + 3,
    peakResidentBytes: () => {
      const status = readFileSync(`${proc}/status`, "utf8");
      const [, kib] = /VmHWM:\s+(\d+) kB/.exec(status)!;
      return Number(kib) * BYTES_PER_KIB;
    },
    descriptors: () => readdirSync(`${proc}/fd`).length,
  };
}

/** Sends a GET request on a new connection. Returns the status. */
export function get(port: number, path: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const req = request({ host: HOST, port, path, agent: false }, (res) => {
      res.resume();
      res.on("end", () => resolve(res.statusCode ?? 0));
      res.on("error", reject);
    });
    req.setTimeout(
      ANSWER_TIMEOUT_MS,
      () => req.destroy(new Error("No answer")),
    );
    req.on("error", reject);
    req.end();
  });
}

/** Opens connections that send these bytes, read nothing and stay open. */
export async function openCrowd(
  t: ExecutionContext,
  { port, connections, bytes }: {
    port: number;
    connections: number;
    bytes: string;
  },
): Promise<Socket[]> {
  const sockets: Socket[] = [];
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
  });
  for (let i = 0; i < connections; i += 1) {
    const socket = connect({ host: HOST, port });
    // The server may close a connection at any time.
    socket.on("error", () => {});
    sockets.push(socket);
    await new Promise<void>((resolve) => {
      socket.once("connect", resolve);
      socket.once("close", () => resolve());
    });
    socket.pause();
    if (bytes) socket.write(bytes);
  }
  return sockets;
}

/** Checks that a gateway lives and answers the ordinary requests of its ports. */
export async function checkServes(
  t: ExecutionContext,
  gateway: GatewayProcess,
): Promise<void> {
  t.is(gateway.child.exitCode, null, "the process has ended");
  t.is(await get(gateway.readinessPort, "/v1/ready"), 200);
  t.is(await get(gateway.metricsPort, "/metrics"), 200);
  const res = await sendTo(HOST, gateway.publicPort, "/none/");
  t.is(res.status, 404);
}
