import { type Agent, request } from "node:http";
import { createServer } from "node:net";
import type { ExecutionContext } from "ava";
import {
  FleetStandin,
  STANDIN_HOST,
  STANDIN_KEY,
  type StandinConfiguration,
} from "@banyanspool/platform-adapter/testing";
import { reservePort } from "@banyanspool/standins";
import { Gateway } from "../gateway.ts";

/** So long that no response is overdue because the test machine is busy. */
const TARGET_LATENCY_MS = 4000;
const SILENT = { write: () => {}, dropped: () => 0, flush: () => {} };
/** Ports below the range from which the system assigns ports. */
const FIRST_PORT = 20_000;
const LAST_PORT = 31_000;
const PORTS_PER_GATEWAY = 10;
/** Public, readiness, peer and metrics port. */
const USED_PORTS = 4;

/** A response as a caller receives it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly body: string;
  /** False if the connection was closed before the end of the response. */
  readonly isComplete: boolean;
}

/** A started gateway and a way to send requests to it. */
export interface RunningGateway {
  readonly gateway: Gateway;
  readonly send: (
    target: string,
    options?: {
      method?: string;
      headers?: Record<string, string>;
      body?: string;
      agent?: Agent;
    },
  ) => Promise<CallerResponse>;
}

/** Starts a stand-in for the platform, which is closed after the test. */
export async function startFleet(
  t: ExecutionContext,
  configuration?: StandinConfiguration,
): Promise<FleetStandin> {
  const fleet = await FleetStandin.create({
    targetLatencyMs: TARGET_LATENCY_MS,
    ...configuration,
  });
  t.teardown(() => fleet.close());
  return fleet;
}

const PORT_BLOCKS = (LAST_PORT - FIRST_PORT) / PORTS_PER_GATEWAY;
/** Test files run in processes of their own, so they begin at other ports. */
let nextBlock = process.pid * 31;

/**
 * Returns the first of several ports that no other process listens on, and that
 * this function has not returned before.
 */
export async function findFreePort(host = "127.0.0.1"): Promise<number> {
  while (true) {
    nextBlock += 1;
    const port = FIRST_PORT + PORTS_PER_GATEWAY * (nextBlock % PORT_BLOCKS);
    if (!reservePort(port)) continue;
    const used = await Promise.all(
      Array.from({ length: USED_PORTS }, (_, i) => isUsed(host, port + i)),
    );
    if (!used.includes(true)) return port;
  }
}

async function isUsed(host: string, port: number): Promise<boolean> {
  const server = createServer();
  return await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(true));
    server.listen(port, host, () => server.close(() => resolve(false)));
  });
}

/** Starts a gateway. Gateways of one test use one port on different addresses. */
export async function startGateway(
  t: ExecutionContext,
  fleet: FleetStandin,
  options: {
    host?: string;
    port?: number;
    isFirstStart?: boolean;
    regions?: Record<string, string>;
    callerMemoryMb?: number;
  } = {},
): Promise<RunningGateway> {
  const { host = "127.0.0.1", isFirstStart = true } = options;
  const port = options.port ?? await findFreePort(host);
  const gateway = await Gateway.create({
    cfg: {
      instance: `gateway-${host}`,
      data_centre: "north",
      public_listen: `${host}:${port}`,
      readiness_listen: `${host}:${port + 1}`,
      peer_listen: `${host}:${port + 2}`,
      metrics_listen: `${host}:${port + 3}`,
      store_address: fleet.store.address,
      first_start: isFirstStart,
      grace_ms: 4000,
      lease_ms: 1000,
      retry_ratio: 0.2,
      retry_burst: 50,
      limit_window_ms: 2000,
      limit_overage: 0.1,
      limit_slack: 100,
      log_lines_per_s: 100,
      status_max_connections: 64,
      regions: options.regions,
      caller_memory_mb: options.callerMemoryMb,
    },
    log: SILENT,
  });
  await gateway.start();
  t.teardown(() => gateway.closeNow());
  const send: RunningGateway["send"] = (target, options) =>
    sendTo(host, port, target, options);
  await waitFor(async () => {
    const res = await sendTo(host, port + 1, "/v1/ready").catch(() =>
      undefined
    );
    return res?.status === 200;
  });
  return { gateway, send };
}

let nextId = 0;

/** Sends one request to a gateway. */
export function sendTo(
  host: string,
  port: number,
  target: string,
  { method = "GET", headers = {}, body, agent }: {
    method?: string;
    headers?: Record<string, string>;
    body?: string;
    agent?: Agent;
  } = {},
): Promise<CallerResponse> {
  nextId += 1;
  return new Promise((resolve, reject) => {
    const req = request({
      host,
      port,
      path: target,
      method,
      agent,
      headers: {
        host: STANDIN_HOST,
        "request-id": `request-${nextId}`,
        authorization: `Bearer ${STANDIN_KEY}`,
        ...headers,
      },
    }, async (res) => {
      let text = "";
      let isComplete = true;
      try {
        for await (const chunk of res) text += String(chunk);
      } catch {
        isComplete = false;
      }
      resolve({
        status: res.statusCode ?? 0,
        headers: res.headers,
        body: text,
        isComplete,
      });
    });
    req.on("error", reject);
    req.end(body);
  });
}

/** Polls until a condition is met; rejects after 10 s. */
export async function waitFor(isMet: () => boolean | Promise<boolean>) {
  for (let i = 0; i < 400; i += 1) {
    if (await isMet()) return;
    await new Promise((resolve) => setTimeout(resolve, 25));
  }
  throw new Error("Condition not met within 10 s");
}

/** Options of a chat request for a model. */
export const chat = (model: string): {
  method: string;
  body: string;
  headers: Record<string, string>;
} => ({
  method: "POST",
  body: "{}",
  headers: {
    model,
    "token-usage": "100,20",
    "prompt-prefix": "a:50,b:50",
    "deadline-ms": "3000",
  },
});

/** One event of a stream. */
export function event(id: number): string {
  return `id: ${id}\ndata: piece ${id}\n\n`;
}
