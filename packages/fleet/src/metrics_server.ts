import {
  createOneRequestServer,
  limitConnections,
  requestLimitOptions,
} from "@banyanspool/http-limits";
import type { Metrics } from "@banyanspool/metrics";

const MAX_CONNECTIONS = 64;
const MAX_HEAD_BYTES = 8 * 1024;
/** Time for a request and its answer, in ms. */
const MAX_CONNECTION_AGE_MS = 5000;

/** Options of {@link startMetricsServer}. */
export interface MetricsServerOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 picks one. */
  readonly port: number;
  /** Metrics to serve. */
  readonly metrics: Metrics;
  /** Updates the gauges; called before each scrape. */
  readonly refresh: () => void;
}

/** A running metrics server. */
export interface MetricsServer {
  /** Port that it listens on. */
  readonly port: number;
  /** Stops it and closes its connections. */
  readonly close: () => void;
}

/** Starts an HTTP server that serves metrics at `/metrics`. */
export async function startMetricsServer(
  { host, port, metrics, refresh }: MetricsServerOptions,
): Promise<MetricsServer> {
  const options = requestLimitOptions({
    maxHeadBytes: MAX_HEAD_BYTES,
    headTimeoutMs: MAX_CONNECTION_AGE_MS,
    requestTimeoutMs: MAX_CONNECTION_AGE_MS,
    idleTimeoutMs: MAX_CONNECTION_AGE_MS,
  });
  const server = createOneRequestServer(options, async (req, res) => {
    if (req.url !== "/metrics") {
      res.writeHead(404).end();
      return;
    }
    refresh();
    res.writeHead(200, { "content-type": metrics.registry.contentType });
    res.end(await metrics.format());
  });
  const connections = limitConnections(server, {
    maxConnections: MAX_CONNECTIONS,
    maxAgeMs: MAX_CONNECTION_AGE_MS,
    closesBusy: true,
    onClosed: (cause) => metrics.metricsLimits.inc({ cause }),
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const address = server.address();
  return {
    port: typeof address === "object" && address ? address.port : 0,
    close: () => {
      server.close();
      connections.closeAll();
    },
  };
}
