import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";

/** A request with its body. */
export interface JsonCall {
  /** Method and path, such as `POST /orders`. */
  readonly route: string;
  /** Path without its query. */
  readonly path: string;
  /** Query parameters. */
  readonly query: URLSearchParams;
  /** Body as text. */
  readonly text: string;
  /** Request headers. */
  readonly headers: IncomingMessage["headers"];
  /** Response. */
  readonly res: ServerResponse;
}

/** Starts an HTTP server that reads each body before it calls a handler. */
export async function startJsonServer(
  port: number,
  handle: (call: JsonCall) => Promise<void> | void,
): Promise<{ server: Server; port: number }> {
  const server = createServer(async (req, res) => {
    const chunks: Buffer[] = [];
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer);
    } catch {
      return;
    }
    const url = new URL(req.url ?? "/", "http://standin");
    res.on("error", () => {});
    await handle({
      route: `${req.method} ${url.pathname}`,
      path: url.pathname,
      query: url.searchParams,
      text: Buffer.concat(chunks).toString("utf8"),
      headers: req.headers,
      res,
    });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", resolve);
  });
  return { server, port: (server.address() as { port: number }).port };
}

/** Writes a JSON response. */
export function writeJson(
  res: ServerResponse,
  body: unknown,
  status = 200,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
