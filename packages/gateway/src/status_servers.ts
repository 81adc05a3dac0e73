import type { RequestListener } from "node:http";
import {
  createOneRequestServer,
  hasTooManyFields,
  limitConnections,
  requestLimitOptions,
} from "@banyanspool/http-limits";
import type { EventLog } from "@banyanspool/logger";
import { READINESS_PATH } from "@banyanspool/platform-adapter";
import { splitAddress } from "@banyanspool/settings";
import type { Clock } from "@banyanspool/types";
import type { EvacuationReport } from "./evacuation/evacuation_status.ts";
import { cacheReport } from "./evacuation/report_cache.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/** A running server of readiness or metrics. */
export interface StatusServer {
  /** Stops it and closes its connections. */
  readonly close: () => void;
}

/** What the servers of readiness and metrics need. */
export interface StatusServerOptions {
  /** Maximum number of connections. */
  readonly maxConnections: number;
  /** Metrics, which count what the limits end. */
  readonly metrics: GatewayMetrics;
}

/** Options of {@link startReadinessServer}. */
export interface ReadinessServerOptions extends StatusServerOptions {
  /** Whether the gateway accepts connections. */
  readonly isReady: () => boolean;
}

/** Options of {@link startMetricsServer}. */
export interface MetricsServerOptions extends StatusServerOptions {
  /** Structured log, whose dropped lines are a metric. */
  readonly log: EventLog;
  /** Time source. */
  readonly clock: Clock;
  /** What operators are told of evacuations and cold replicas. */
  readonly evacuationReport: () => EvacuationReport;
}

const MAX_HEAD_BYTES = 8 * 1024;
const MAX_HEAD_FIELDS = 64;
/** Time for a request and its answer, in ms. */
const MAX_CONNECTION_AGE_MS = 5000;
/** Path of the report of evacuations and cold replicas at the metrics port. */
const EVACUATION_REPORT_PATH = "/evacuations";
/** Time for which the metrics are served again, in ms. */
const METRICS_AGE_MS = 1000;

/**
 * Starts the readiness check for the load balancer: 200 if the gateway accepts
 * connections, 503 if not.
 */
export async function startReadinessServer(
  address: string,
  options: ReadinessServerOptions,
): Promise<StatusServer> {
  return await startStatusServer(address, options, (req, res) => {
    const isFound = req.url === READINESS_PATH;
    const isReady = isFound && options.isReady();
    res.writeHead(isReady ? 200 : isFound ? 503 : 404, {
      "content-length": "0",
    });
    res.end();
  });
}

/**
 * Starts the server of the metrics in Prometheus' text format, and of the report
 * of evacuations and cold replicas as JSON.
 */
export async function startMetricsServer(
  address: string,
  options: MetricsServerOptions,
): Promise<StatusServer> {
  const { metrics, log, clock, evacuationReport } = options;
  let text = Promise.resolve("");
  let textAt = -Infinity;
  const readReport = cacheReport({ build: evacuationReport, clock, log });
  return await startStatusServer(address, options, async (req, res) => {
    if (req.url === EVACUATION_REPORT_PATH) {
      const report = readReport();
      if (report === undefined) {
        res.writeHead(500, { "content-length": "0" }).end();
        return;
      }
      res.writeHead(200, { "content-type": "application/json" }).end(report);
      return;
    }
    if (clock.now() - textAt >= METRICS_AGE_MS) {
      textAt = clock.now();
      metrics.droppedLines.set(log.dropped());
      text = metrics.registry.metrics();
    }
    res.writeHead(200, { "content-type": metrics.registry.contentType });
    res.end(await text);
  });
}

async function startStatusServer(
  address: string,
  { maxConnections, metrics }: StatusServerOptions,
  listener: RequestListener,
): Promise<StatusServer> {
  const server = createOneRequestServer(
    requestLimitOptions({
      maxHeadBytes: MAX_HEAD_BYTES,
      headTimeoutMs: MAX_CONNECTION_AGE_MS,
      requestTimeoutMs: MAX_CONNECTION_AGE_MS,
      idleTimeoutMs: MAX_CONNECTION_AGE_MS,
    }),
    (req, res) => {
      if (!hasTooManyFields(req, MAX_HEAD_FIELDS)) return listener(req, res);
      metrics.statusLimits.inc({ cause: "too_many_fields" });
      res.writeHead(431, { "content-length": "0" }).end();
    },
  );
  const connections = limitConnections(server, {
    maxConnections,
    maxAgeMs: MAX_CONNECTION_AGE_MS,
    closesBusy: true,
    onClosed: (cause) => metrics.statusLimits.inc({ cause }),
  });
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, resolve);
  });
  return {
    close: () => {
      server.close();
      connections.closeAll();
    },
  };
}
