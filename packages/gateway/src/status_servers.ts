import { createServer, type Server } from "node:http";
import type { EventLog } from "@banyanspool/logger";
import { READINESS_PATH } from "@banyanspool/platform-adapter";
import { splitAddress } from "@banyanspool/settings";
import type { GatewayMetrics } from "./gateway_metrics.ts";

/**
 * Starts the readiness check for the load balancer: 200 if the gateway accepts
 * connections, 503 if not.
 */
export async function startReadinessServer(
  address: string,
  isReady: () => boolean,
): Promise<Server> {
  return await listen(
    address,
    createServer((req, res) => {
      const isFound = req.url === READINESS_PATH;
      res.writeHead(isFound && isReady() ? 200 : isFound ? 503 : 404, {
        "content-length": "0",
      });
      res.end();
    }),
  );
}

/** Starts the server of the metrics in Prometheus' text format. */
export async function startMetricsServer(
  address: string,
  { metrics, log }: { metrics: GatewayMetrics; log: EventLog },
): Promise<Server> {
  return await listen(
    address,
    createServer(async (_req, res) => {
      metrics.droppedLines.set(log.dropped());
      const text = await metrics.registry.metrics();
      res.writeHead(200, { "content-type": metrics.registry.contentType });
      res.end(text);
    }),
  );
}

async function listen(address: string, server: Server): Promise<Server> {
  const { host, port } = splitAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port }, resolve);
  });
  return server;
}
